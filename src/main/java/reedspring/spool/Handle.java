package reedspring.spool;

/**
 * What a handle says once its seal has proved to be this front's, for this tenant. Times are Unix tenths of a
 * ms.
 */
public record Handle(AnswerId answer, String tenant, boolean repeatable, long expiresAt) {
}
