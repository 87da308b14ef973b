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
 * MessagePack-RPC from clients, parsed where it lies: Netty has no codec for it, and the libraries copy a
 * message before they read it. First the whole message is measured, within the limits on bytes and values;
 * what is read afterwards can't run over its end.
 */
final class RpcDecoder extends ByteToMessageDecoder {
    private static final int REQUEST = 0;
    private static final int NOTICE = 2;
    private static final int REQUEST_PARTS = 4;

    private final Limits limits;
    private final Pieces pieces;
    private int budget;
    private int unfinished;
    private long lacking;
    private long discards;
    private long refused;
    private long messages;
    private boolean deaf;

    /** Who counts the bytes of all unfinished messages, and says whether there is room for more. */
    interface Pieces {
        boolean hold(int more);
    }

    RpcDecoder(Limits limits, Pieces pieces) {
        this.limits = limits;
        this.pieces = pieces;
    }

    /** A request that was passed over as it came, since there was no room for it. */
    record Refused(long id) {
    }

    /** A request; {@code fault} tells why it can't be used, null if it can. The body is the receiver's. */
    record Call(long id, String method, Map<String, String> fields, ByteBuf body, String fault) {
    }

    record Notice(String method, long id) {
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (deaf) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (discards > 0) {
            int passed = (int) Math.min(discards, in.readableBytes());
            in.skipBytes(passed);
            discards -= passed;
            if (discards == 0) {
                messages++;
                out.add(new Refused(refused));
            }
            return;
        }
        int start = in.readerIndex();
        lacking = 0;
        budget = limits.messageValues;
        boolean whole = pass(in, 1);
        int length = in.readerIndex() - start;
        in.readerIndex(start);
        if (length > limits.messageBytes) {
            throw new TooLongFrameException("a message over " + limits.messageBytes + " bytes");
        }
        if (!whole) {
            if (!unfinished(in.readableBytes()) && in.readableBytes() > limits.smallMessage) {
                refuse(in);
            }
            return;
        }
        unfinished(0);
        messages++;
        Object message = message(in.readSlice(length));
        if (message != null) {
            out.add(message);
        }
    }

    private boolean unfinished(int bytes) {
        int more = bytes - unfinished;
        unfinished = bytes;
        return pieces.hold(more) || more <= 0;
    }

    /** Its sender may hold it for taken already: the rest is passed over, and it gets its answer. */
    private void refuse(ByteBuf in) {
        int start = in.readerIndex();
        refused = arrayHeader(in) == REQUEST_PARTS && whole(in) == REQUEST ? whole(in) : -1;
        if (refused < 0 || lacking == 0) {
            in.readerIndex(start);
            throw new TooLongFrameException("no room for a message of this form");
        }
        in.readerIndex(in.writerIndex());
        discards = lacking;
        unfinished(0);
    }

    /** The connection ends: what is still read of it is thrown away and holds no room. */
    void hearNoMore() {
        deaf = true;
        unfinished(0);
        discards = 0;
    }

    /** How many messages have come whole. */
    long messages() {
        return messages;
    }

    /** Whether a message has come in part. */
    boolean midway() {
        return unfinished > 0 || discards > 0;
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) {
        pieces.hold(-unfinished);
        unfinished = 0;
    }

    /**
     * Passes {@code count} values; false if they have not come whole. A message in pieces is measured anew
     * with each, which the limit on values keeps cheap.
     */
    private boolean pass(ByteBuf in, long count) {
        for (long left = count; left > 0; left--) {
            if (budget-- == 0) {
                throw new TooLongFrameException("a message of over " + limits.messageValues + " values");
            }
            if (!in.isReadable()) {
                return false;
            }
            int type = in.readUnsignedByte();
            if (type <= 0x7f || type >= 0xe0 || type == 0xc0 || type == 0xc2 || type == 0xc3) {
                continue;
            }
            if (type <= 0x8f) {
                left += 2 * (type & 0xf);
            } else if (type <= 0x9f) {
                left += type & 0xf;
            } else if (type <= 0xbf) {
                if (!skip(in, type & 0x1f, left)) {
                    return false;
                }
            } else if (type == 0xc1) {
                throw new CorruptedFrameException("0xc1 is no MessagePack");
            } else {
                int size = lengthBytes(type);
                if (in.readableBytes() < size) {
                    return false;
                }
                long length = size == 0 ? 0 : unsigned(in, size);
                if (type >= 0xdc) {
                    left += (type >= 0xde ? 2 : 1) * length;
                    if (left > limits.messageValues) {
                        throw new TooLongFrameException("a message of over " + limits.messageValues
                                + " values");
                    }
                } else if (!skip(in, size == 0 || type >= 0xca && type <= 0xd3 ? fixed(type)
                        : type >= 0xc7 && type <= 0xc9 ? length + 1 : length, left)) {
                    return false;
                }
            }
        }
        return true;
    }

    private boolean skip(ByteBuf in, long length, long left) {
        if (length > limits.messageBytes) {
            throw new TooLongFrameException("a message over " + limits.messageBytes + " bytes");
        }
        if (in.readableBytes() < length) {
            lacking = left == 1 ? length - in.readableBytes() : 0;
            return false;
        }
        in.skipBytes((int) length);
        return true;
    }

    /** How many bytes of length stand behind the type; 0 where the type alone tells it. */
    private static int lengthBytes(int type) {
        return switch (type) {
            case 0xc4, 0xc7, 0xd9 -> 1;
            case 0xc5, 0xc8, 0xda, 0xdc, 0xde -> 2;
            case 0xc6, 0xc9, 0xdb, 0xdd, 0xdf -> 4;
            default -> 0;
        };
    }

    private static int fixed(int type) {
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

    private static long unsigned(ByteBuf in, int size) {
        return switch (size) {
            case 1 -> in.readUnsignedByte();
            case 2 -> in.readUnsignedShort();
            case 4 -> in.readUnsignedInt();
            default -> in.readLong();
        };
    }

    private Object message(ByteBuf in) {
        int size = arrayHeader(in);
        long type = size >= 1 ? whole(in) : -1;
        if (type == NOTICE && size == 3) {
            String method = text(in);
            long id = arrayHeader(in) >= 1 ? whole(in) : -1;
            return method == null ? null : new Notice(method, id);
        }
        if (type > 0 && type <= NOTICE) {
            // An answer, though nothing was asked, or a notice of another form.
            return null;
        }
        long id = type == REQUEST && size >= 2 ? whole(in) : -1;
        if (id < 0) {
            throw new CorruptedFrameException("a request without an id");
        }
        String method = size == REQUEST_PARTS ? text(in) : null;
        if (method == null) {
            return new Call(id, "", Map.of(), null, "a request is [0, id, method, params]");
        }
        int params = arrayHeader(in);
        Map<String, String> fields = params >= 1 ? fields(in) : null;
        if (fields == null) {
            return new Call(id, method, Map.of(), null, "no map of fields, text to text");
        }
        ByteBuf body = params >= 2 ? binary(in) : null;
        return new Call(id, method, fields, body == null ? null : body.retain(), null);
    }

    private int arrayHeader(ByteBuf in) {
        return header(in, 0x90, 0xdc);
    }

    /** The length of an array or a map, or -1 if something else stands here. */
    private static int header(ByteBuf in, int fix, int wide) {
        int type = in.isReadable() ? in.readUnsignedByte() : 0xc0;
        if ((type & 0xf0) == fix) {
            return type & 0xf;
        }
        return type == wide ? in.readUnsignedShort() : type == wide + 1 ? (int) in.readUnsignedInt() : -1;
    }

    /** A whole number from 0, or -1. */
    private static long whole(ByteBuf in) {
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

    private static ByteBuf binary(ByteBuf in) {
        int type = in.isReadable() ? in.readUnsignedByte() : 0xc0;
        int length = switch (type) {
            case 0xc4 -> in.readUnsignedByte();
            case 0xc5 -> in.readUnsignedShort();
            case 0xc6 -> (int) in.readUnsignedInt();
            default -> -1;
        };
        return length < 0 ? null : in.readSlice(length);
    }

    private static String text(ByteBuf in) {
        int type = in.isReadable() ? in.readUnsignedByte() : 0xc0;
        int length = (type & 0xe0) == 0xa0 ? type & 0x1f : switch (type) {
            case 0xd9 -> in.readUnsignedByte();
            case 0xda -> in.readUnsignedShort();
            case 0xdb -> (int) in.readUnsignedInt();
            default -> -1;
        };
        return length < 0 ? null : in.readCharSequence(length, StandardCharsets.UTF_8).toString();
    }

    private Map<String, String> fields(ByteBuf in) {
        int count = header(in, 0x80, 0xde);
        if (count < 0) {
            return null;
        }
        Map<String, String> fields = new HashMap<>();
        for (int k = 0; k < count; k++) {
            String name = text(in);
            int valueAt = in.readerIndex();
            String value = name == null ? null : text(in);
            if (name == null) {
                return null;
            }
            if (value == null) {
                // A field of another type: of no use by this name, and no harm under one that is not known.
                in.readerIndex(valueAt);
                budget = limits.messageValues;
                pass(in, 1);
            } else {
                fields.put(name, value);
            }
        }
        return fields;
    }
}
