/** The size in two years: hollow fronts beside real ones, what each factor costs, and the page that tells it. */
package reedspring.rig.scale;
