/** Spreads the load of hundreds of independent fronts over the engines and over time; no I/O. */
package reedspring.spread;
