// Package e2e tests whole fleets of real processes on loopback: it builds the
// binaries, starts them with settings and keys of their own, and kills them by
// their process IDs. It has no code besides its tests.
package e2e
