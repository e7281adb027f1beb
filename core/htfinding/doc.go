// Package htfinding collects errors in operator input with their locations, so that
// all of them are reported at once.
package htfinding
