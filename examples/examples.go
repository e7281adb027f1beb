// Package examples embeds the declarations of the example workloads, for programs that run
// them.
package examples

import "embed"

// Files contains the directory WORKLOAD/declarations of each example workload.
//
//go:embed sabarmati/declarations caroni/declarations
var Files embed.FS
