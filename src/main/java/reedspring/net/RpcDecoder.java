package reedspring.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decodes MessagePack-RPC from clients in place: Netty has no codec for it, and the MessagePack libraries
 * copy a message before they read it. The whole message is measured first, within the limits on bytes and
 * values, so that the reads that follow can't run past its end.
 */
final class RpcDecoder extends ByteToMessageDecoder {
    private static final int REQUEST_TYPE = 0;
    private static final int NOTIFICATION_TYPE = 2;
    private static final int REQUEST_ELEMENTS = 4;

    private final Limits limits;
    private final PartialMessageBudget partialMessageBudget;
    /** How many more values the current message may have. */
    private int valueBudget;
    /** Bytes received of an incomplete message. */
    private int partialBytes;
    /** Bytes missing of a message's last value if that is a string or binary data, else 0. */
    private long missingBytes;
    /** Bytes still to discard of a refused request. */
    private long bytesToDiscard;
    private long refusedId;
    private long messageCount;
    private boolean discardAll;

    /** Accounts for the bytes of partial messages on all connections. */
    interface PartialMessageBudget {
        /** Adds {@code bytes}, negative to release them; returns whether the total is within its limit. */
        boolean reserve(int bytes);
    }

    RpcDecoder(Limits limits, PartialMessageBudget partialMessageBudget) {
        this.limits = limits;
        this.partialMessageBudget = partialMessageBudget;
    }

    /** A request whose input was discarded because no memory was left for it. */
    record Refused(long id) {
    }

    /**
     * A request.
     *
     * @param body the statement, which the receiver must release; may be null
     * @param fault why the request is invalid, or null
     */
    record Request(long id, String method, Map<String, String> fields, ByteBuf body, String fault) {
    }

    /** A notification; {@code id} is its first parameter, or -1. */
    record Notification(String method, long id) {
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (discardAll) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (bytesToDiscard > 0) {
            int skipped = (int) Math.min(bytesToDiscard, in.readableBytes());
            in.skipBytes(skipped);
            bytesToDiscard -= skipped;
            if (bytesToDiscard == 0) {
                messageCount++;
                out.add(new Refused(refusedId));
            }
            return;
        }
        int start = in.readerIndex();
        missingBytes = 0;
        valueBudget = limits.messageValues;
        boolean complete = skipValues(in, 1);
        int length = in.readerIndex() - start;
        in.readerIndex(start);
        if (length > limits.messageBytes) {
            throw new TooLongFrameException("message exceeds " + limits.messageBytes + " bytes");
        }
        if (!complete) {
            if (!updatePartialBytes(in.readableBytes()) && in.readableBytes() > limits.smallMessageBytes) {
                refuseRequest(in);
            }
            return;
        }
        updatePartialBytes(0);
        messageCount++;
        Object message = readMessage(in.readSlice(length));
        if (message != null) {
            out.add(message);
        }
    }

    /** Sets the size of the partial message; returns false if it grew and the budget is exceeded. */
    private boolean updatePartialBytes(int bytes) {
        int addedBytes = bytes - partialBytes;
        partialBytes = bytes;
        return partialMessageBudget.reserve(addedBytes) || addedBytes <= 0;
    }

    /** Refuses a partial request and discards the rest: its client may count on an answer already. */
    private void refuseRequest(ByteBuf in) {
        int start = in.readerIndex();
        refusedId = readArrayHeader(in) == REQUEST_ELEMENTS && readNonNegativeInteger(in) == REQUEST_TYPE
                ? readNonNegativeInteger(in) : -1;
        if (refusedId < 0 || missingBytes == 0) {
            in.readerIndex(start);
            throw new TooLongFrameException("no memory left for a partial message of this form");
        }
        in.readerIndex(in.writerIndex());
        bytesToDiscard = missingBytes;
        updatePartialBytes(0);
    }

    /** Discards all further input and releases its budget; called when the connection is closing. */
    void discardInput() {
        discardAll = true;
        updatePartialBytes(0);
        bytesToDiscard = 0;
    }

    /** Returns how many complete messages have been received. */
    long messageCount() {
        return messageCount;
    }

    /** Bytes of the partial message that are held. */
    int partialBytes() {
        return partialBytes;
    }

    /** Returns whether part of a message has been received. */
    boolean hasPartialMessage() {
        return partialBytes > 0 || bytesToDiscard > 0;
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) {
        partialMessageBudget.reserve(-partialBytes);
        partialBytes = 0;
    }

    /**
     * Skips {@code count} values; returns false if they are incomplete. A message that arrives in parts is
     * measured again with each part, which the limit on values keeps cheap.
     */
    private boolean skipValues(ByteBuf in, long count) {
        for (long valuesLeft = count; valuesLeft > 0; valuesLeft--) {
            if (valueBudget-- == 0) {
                throw new TooLongFrameException("message exceeds " + limits.messageValues + " values");
            }
            if (!in.isReadable()) {
                return false;
            }
            int type = in.readUnsignedByte();
            if (type <= 0x7f || type >= 0xe0 || type == 0xc0 || type == 0xc2 || type == 0xc3) {
                continue;
            }
            if (type <= 0x8f) {
                valuesLeft += 2 * (type & 0xf);
            } else if (type <= 0x9f) {
                valuesLeft += type & 0xf;
            } else if (type <= 0xbf) {
                if (!skipBytes(in, type & 0x1f, valuesLeft)) {
                    return false;
                }
            } else if (type == 0xc1) {
                throw new CorruptedFrameException("0xc1 is not a MessagePack type");
            } else {
                int size = lengthFieldBytes(type);
                if (in.readableBytes() < size) {
                    return false;
                }
                long length = size == 0 ? 0 : readUnsigned(in, size);
                if (type >= 0xdc) {
                    valuesLeft += (type >= 0xde ? 2 : 1) * length;
                    if (valuesLeft > limits.messageValues) {
                        throw new TooLongFrameException("message exceeds " + limits.messageValues
                                + " values");
                    }
                } else if (!skipBytes(in, size == 0 || type >= 0xca && type <= 0xd3 ? fixedPayloadBytes(type)
                        : type >= 0xc7 && type <= 0xc9 ? length + 1 : length, valuesLeft)) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Skips {@code length} bytes; if they are incomplete and end the message, notes how many are missing. */
    private boolean skipBytes(ByteBuf in, long length, long valuesLeft) {
        if (length > limits.messageBytes) {
            throw new TooLongFrameException("message exceeds " + limits.messageBytes + " bytes");
        }
        if (in.readableBytes() < length) {
            missingBytes = valuesLeft == 1 ? length - in.readableBytes() : 0;
            return false;
        }
        in.skipBytes((int) length);
        return true;
    }

    /** Returns the size of the length field after a type byte; 0 if the type implies the length. */
    private static int lengthFieldBytes(int type) {
        return switch (type) {
            case 0xc4, 0xc7, 0xd9 -> 1;
            case 0xc5, 0xc8, 0xda, 0xdc, 0xde -> 2;
            case 0xc6, 0xc9, 0xdb, 0xdd, 0xdf -> 4;
            default -> 0;
        };
    }

    /** Returns the payload size of a type of fixed size, with the type byte of an extension. */
    private static int fixedPayloadBytes(int type) {
        return switch (type) {
            case 0xcc, 0xd0 -> 1;
            case 0xcd, 0xd1, 0xd4 -> 2;
            case 0xd5 -> 3;
            case 0xca, 0xce, 0xd2 -> 4;
            case 0xd6 -> 5;
            case 0xcb, 0xcf, 0xd3 -> 8;
            case 0xd7 -> 9;
            default -> 17;
        };
    }

    private static long readUnsigned(ByteBuf in, int size) {
        return switch (size) {
            case 1 -> in.readUnsignedByte();
            case 2 -> in.readUnsignedShort();
            case 4 -> in.readUnsignedInt();
            default -> in.readLong();
        };
    }

    private Object readMessage(ByteBuf in) {
        int size = readArrayHeader(in);
        long type = size >= 1 ? readNonNegativeInteger(in) : -1;
        if (type == NOTIFICATION_TYPE && size == 3) {
            String method = readText(in);
            long id = readArrayHeader(in) >= 1 ? readNonNegativeInteger(in) : -1;
            return method == null ? null : new Notification(method, id);
        }
        if (type > 0 && type <= NOTIFICATION_TYPE) {
            // A response, though the front sends no requests, or a malformed notification.
            return null;
        }
        long id = type == REQUEST_TYPE && size >= 2 ? readNonNegativeInteger(in) : -1;
        if (id < 0) {
            throw new CorruptedFrameException("request has no valid id");
        }
        String method = size == REQUEST_ELEMENTS ? readText(in) : null;
        if (method == null) {
            return new Request(id, "", Map.of(), null, "a request is [0, id, method, params]");
        }
        int params = readArrayHeader(in);
        Map<String, String> fields = params >= 1 ? readFields(in) : null;
        if (fields == null) {
            return new Request(id, method, Map.of(), null, "no map of fields, text to text");
        }
        ByteBuf body = params >= 2 ? readBinary(in) : null;
        return new Request(id, method, fields, body == null ? null : body.retain(), null);
    }

    private int readArrayHeader(ByteBuf in) {
        return readHeader(in, 0x90, 0xdc);
    }

    /** Reads the length of an array or a map; -1 if the value is of another type. */
    private static int readHeader(ByteBuf in, int fixType, int type16) {
        int type = in.isReadable() ? in.readUnsignedByte() : 0xc0;
        if ((type & 0xf0) == fixType) {
            return type & 0xf;
        }
        return type == type16 ? in.readUnsignedShort() : type == type16 + 1 ? (int) in.readUnsignedInt() : -1;
    }

    /** Reads a non-negative integer; -1 if the value is anything else. */
    private static long readNonNegativeInteger(ByteBuf in) {
        int type = in.isReadable() ? in.readUnsignedByte() : 0xc0;
        if (type <= 0x7f) {
            return type;
        }
        return Math.max(-1, switch (type) {
            case 0xcc -> in.readUnsignedByte();
            case 0xcd -> in.readUnsignedShort();
            case 0xce -> in.readUnsignedInt();
            case 0xcf, 0xd3 -> in.readLong();
            case 0xd0 -> in.readByte();
            case 0xd1 -> in.readShort();
            case 0xd2 -> in.readInt();
            default -> -1;
        });
    }

    /** Reads binary data as a slice; null if the value is of another type. */
    private static ByteBuf readBinary(ByteBuf in) {
        int type = in.isReadable() ? in.readUnsignedByte() : 0xc0;
        int length = switch (type) {
            case 0xc4 -> in.readUnsignedByte();
            case 0xc5 -> in.readUnsignedShort();
            case 0xc6 -> (int) in.readUnsignedInt();
            default -> -1;
        };
        return length < 0 ? null : in.readSlice(length);
    }

    /** Reads a string; null if the value is of another type. */
    private static String readText(ByteBuf in) {
        int type = in.isReadable() ? in.readUnsignedByte() : 0xc0;
        int length = (type & 0xe0) == 0xa0 ? type & 0x1f : switch (type) {
            case 0xd9 -> in.readUnsignedByte();
            case 0xda -> in.readUnsignedShort();
            case 0xdb -> (int) in.readUnsignedInt();
            default -> -1;
        };
        return length < 0 ? null : in.readCharSequence(length, StandardCharsets.UTF_8).toString();
    }

    /** Reads a map of strings; null if the value is not a map or a key is not a string. */
    private Map<String, String> readFields(ByteBuf in) {
        int count = readHeader(in, 0x80, 0xde);
        if (count < 0) {
            return null;
        }
        Map<String, String> fields = new HashMap<>();
        for (int k = 0; k < count; k++) {
            String name = readText(in);
            int valueIndex = in.readerIndex();
            String value = name == null ? null : readText(in);
            if (name == null) {
                return null;
            }
            if (value == null) {
                // Ignore a value that is not a string; a known field then counts as absent.
                in.readerIndex(valueIndex);
                valueBudget = limits.messageValues;
                skipValues(in, 1);
            } else {
                fields.put(name, value);
            }
        }
        return fields;
    }
}
