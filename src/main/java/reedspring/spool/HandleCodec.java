package reedspring.spool;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Encodes and decodes handles. A handle holds the answer's id, whether its query is repeatable, its expiry
 * time and a message authentication code: the first 128 bits of an HMAC-SHA256 over these fields, the name of
 * the front and the tenant. A handle that was not issued by this front to this tenant decodes to null, so
 * that another party can't distinguish an existing answer from a missing one.
 *
 * <p>The first key signs; every key verifies, so that keys can be rotated while handles are in use.
 */
public final class HandleCodec {
    private static final byte VERSION = 1;
    private static final int PAYLOAD_BYTES = 1 + 1 + 1 + 16 + 8;
    private static final int MAC_BYTES = 16;
    private static final int MIN_KEY_BYTES = 16;
    private static final String MAC_ALGORITHM = "HmacSHA256";

    private final List<byte[]> keys;
    private final byte[] front;

    /** @throws IllegalArgumentException if there is no key, or a key is shorter than 16 bytes */
    public HandleCodec(String front, List<byte[]> keys) {
        if (keys.isEmpty() || keys.stream().anyMatch(key -> key.length < MIN_KEY_BYTES)) {
            throw new IllegalArgumentException("handles need a key of at least " + MIN_KEY_BYTES + " bytes");
        }
        this.front = front.getBytes(StandardCharsets.UTF_8);
        this.keys = keys.stream().map(byte[]::clone).toList();
    }

    public String encode(Handle handle) {
        byte[] key = keys.get(0);
        ByteBuffer encoded = ByteBuffer.allocate(PAYLOAD_BYTES + MAC_BYTES);
        encoded.put(VERSION).put(keyHint(key)).put((byte) (handle.repeatable() ? 1 : 0))
                .putLong(handle.answer().high()).putLong(handle.answer().low()).putLong(handle.expiresAt());
        encoded.put(mac(key, encoded.array(), handle.tenant()));
        return Base64.getUrlEncoder().withoutPadding().encodeToString(encoded.array());
    }

    /** Returns null if the text isn't a valid handle that this front issued to the tenant. */
    public Handle decode(String text, String tenant) {
        byte[] encoded;
        try {
            encoded = Base64.getUrlDecoder().decode(text);
        } catch (IllegalArgumentException e) {
            return null;
        }
        if (encoded.length != PAYLOAD_BYTES + MAC_BYTES || encoded[0] != VERSION) {
            return null;
        }
        byte[] receivedMac = Arrays.copyOfRange(encoded, PAYLOAD_BYTES, encoded.length);
        for (byte[] key : keys) {
            if (keyHint(key) == encoded[1] && MessageDigest.isEqual(mac(key, encoded, tenant), receivedMac)) {
                ByteBuffer payload = ByteBuffer.wrap(encoded, 2, PAYLOAD_BYTES - 2);
                boolean repeatable = payload.get() == 1;
                return new Handle(new AnswerId(payload.getLong(), payload.getLong()), tenant, repeatable,
                        payload.getLong());
            }
        }
        return null;
    }

    private byte[] mac(byte[] key, byte[] encoded, String tenant) {
        try {
            Mac mac = Mac.getInstance(MAC_ALGORITHM);
            mac.init(new SecretKeySpec(key, MAC_ALGORITHM));
            mac.update(encoded, 0, PAYLOAD_BYTES);
            // The length keeps two pairs of front and tenant with the same concatenation apart.
            mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(front.length).array());
            mac.update(front);
            mac.update(tenant.getBytes(StandardCharsets.UTF_8));
            return Arrays.copyOf(mac.doFinal(), MAC_BYTES);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /** First byte of the key's digest: most handles are then checked against one key only. */
    private static byte keyHint(byte[] key) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(key)[0];
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }
}
