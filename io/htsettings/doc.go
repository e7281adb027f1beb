// Package htsettings reads the YAML settings of an entry host. All findings on a file are
// reported together, each with its line and field.
package htsettings
