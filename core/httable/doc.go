// Package httable defines the interface to the platform's transactional table
// service. Rows are read by key or by prefix and changed by transactions with
// conditions on row versions.
package httable
