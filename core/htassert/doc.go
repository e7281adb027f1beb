// Package htassert checks the invariants of the running program. A violation is
// counted and logged. It also causes a panic if PanicOnViolation is set, as in tests.
package htassert
