/** The size in two years: hollow fronts beside real ones, what each factor costs, and its page. */
package reedspring.rig.scale;
