// Package htyaml decodes YAML nodes into structs strictly. It reports unknown fields,
// duplicate keys and wrong types as findings with their line and continues after each,
// so that one run reports all of them.
package htyaml
