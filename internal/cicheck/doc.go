// Package cicheck holds the tests of the scripts in .ci.
package cicheck
