package reedspring.spool;

/** The 128-bit random identifier of a kept answer. */
public record AnswerId(long high, long low) {
    @Override
    public String toString() {
        return String.format("%016x%016x", high, low);
    }
}
