// Package mcstandin holds small stand-ins of the outside systems, with fault injection.
package mcstandin
