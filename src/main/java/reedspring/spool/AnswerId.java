package reedspring.spool;

/** The 128 random bits by which an answer that is kept is known. */
public record AnswerId(long high, long low) {
    @Override
    public String toString() {
        return String.format("%016x%016x", high, low);
    }
}
