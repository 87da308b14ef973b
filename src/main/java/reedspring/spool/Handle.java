package reedspring.spool;

/**
 * The content of a handle whose authentication code was verified for this front and tenant.
 * {@code expiresAt} is Unix time in ticks (one tick is a tenth of a millisecond).
 */
public record Handle(AnswerId answer, String tenant, boolean repeatable, long expiresAt) {
}
