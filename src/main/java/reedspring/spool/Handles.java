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
 * Writes and reads handles: an answer's random bits, whether its query may be repeated, its end, and a seal
 * (HMAC-SHA256, 128 bits of it) over these, the front's name and the tenant's. What is not sealed for this
 * front and tenant reads as nothing at all, so that a stranger can't tell a kept answer from none.
 *
 * <p>The first key seals; all of them open, so that a key can be changed while handles are out.
 */
public final class Handles {
    private static final byte VERSION = 1;
    private static final int PAYLOAD_BYTES = 1 + 1 + 1 + 16 + 8;
    private static final int MAC_BYTES = 16;
    private static final int MIN_KEY_BYTES = 16;
    private static final String MAC_ALGORITHM = "HmacSHA256";

    private final List<byte[]> keys;
    private final byte[] front;

    /** @throws IllegalArgumentException without a key, or with one of under 16 bytes */
    public Handles(String front, List<byte[]> keys) {
        if (keys.isEmpty() || keys.stream().anyMatch(key -> key.length < MIN_KEY_BYTES)) {
            throw new IllegalArgumentException("a key of at least " + MIN_KEY_BYTES + " bytes is needed");
        }
        this.front = front.getBytes(StandardCharsets.UTF_8);
        this.keys = keys.stream().map(byte[]::clone).toList();
    }

    public String write(Handle handle) {
        byte[] key = keys.get(0);
        ByteBuffer encoded = ByteBuffer.allocate(PAYLOAD_BYTES + MAC_BYTES);
        encoded.put(VERSION).put(keyHint(key)).put((byte) (handle.repeatable() ? 1 : 0))
                .putLong(handle.answer().high()).putLong(handle.answer().low()).putLong(handle.expiresAt());
        encoded.put(mac(key, encoded.array(), handle.tenant()));
        return Base64.getUrlEncoder().withoutPadding().encodeToString(encoded.array());
    }

    /** Null for what is no handle of this front for this tenant. */
    public Handle read(String text, String tenant) {
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
                return new Handle(new AnswerId(payload.getLong(), payload.getLong()), tenant, repeatable, payload.getLong());
            }
        }
        return null;
    }

    private byte[] mac(byte[] key, byte[] encoded, String tenant) {
        try {
            Mac mac = Mac.getInstance(MAC_ALGORITHM);
            mac.init(new SecretKeySpec(key, MAC_ALGORITHM));
            mac.update(encoded, 0, PAYLOAD_BYTES);
            // Lengths, so that no front's name and tenant read as another pair's.
            mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(front.length).array());
            mac.update(front);
            mac.update(tenant.getBytes(StandardCharsets.UTF_8));
            return Arrays.copyOf(mac.doFinal(), MAC_BYTES);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A hint at the key, so that a handle is mostly tried with one. */
    private static byte keyHint(byte[] key) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(key)[0];
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }
}
