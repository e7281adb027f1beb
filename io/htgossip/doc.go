// Package htgossip carries what entry hosts tell each other: short datagrams with
// signs of life, faults and small rows, and HTTP answers with the rows of the
// mirrored tables. Datagrams may be lost; each beat repeats all that counts.
package htgossip
