// Package uptime tells when the process started. It imports no other package, so that its
// time is taken before those of the rest are set up.
package uptime

import "time"

var processStart = time.Now()

// ProcessStart returns a time shortly after the start of the process and before any of its
// sockets was opened, with a monotonic reading.
func ProcessStart() time.Time { return processStart }
