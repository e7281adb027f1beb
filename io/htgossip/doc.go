// Package htgossip carries what entry hosts tell each other: short datagrams with
// reports of upstreams and signs of life, and HTTP answers with the rows of the
// mirrored tables. Datagrams may be lost; each beat repeats all that counts.
package htgossip
