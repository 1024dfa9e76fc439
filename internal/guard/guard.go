// Package guard keeps a panic in the handling of one message from ending the process.
// The message is lost and its sender sends it again or gives up; the process goes on
// with the next one.
package guard

import "go.uber.org/zap"

// Run calls f and reports whether it has returned. A panic is logged with its stack.
func Run(log *zap.Logger, f func()) (returned bool) {
	defer func() {
		if cause := recover(); cause != nil {
			log.Error("Recovered from a fault while handling a message; the message is lost.", zap.Any("fault", cause), zap.Stack("stack"))
		}
	}()
	f()
	return true
}

// Loop calls f, which handles messages until there are no more, again after each panic.
func Loop(log *zap.Logger, f func()) {
	for !Run(log, f) {
	}
}
