// Package htservice puts functions and HTTP servers under a suture supervisor.
package htservice
