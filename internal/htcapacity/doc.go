// Package htcapacity measures the cost of the roles of an entry host at several sizes,
// stores the results in a file and extrapolates them to the design size.
package htcapacity
