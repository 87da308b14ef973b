/** Keeping hundreds of fronts that can't hear one another from doing the same at once; no I/O. */
package reedspring.spread;
