// Package htservice runs functions and HTTP servers as services of a suture supervisor.
package htservice
