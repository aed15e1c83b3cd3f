// Package logline logs events through klog. Each event is one line that consists of the
// event and key=value pairs.
package logline

import (
	"k8s.io/klog/v2"
)

// Info logs an event with alternating keys and values.
func Info(event string, kv ...any) {
	klog.InfoSDepth(1, event, kv...)
}

// Error logs an event that needs an operator's attention, with the error and alternating
// keys and values.
func Error(err error, event string, kv ...any) {
	klog.ErrorSDepth(1, err, event, kv...)
}

// Debug logs an event with alternating keys and values, if klog's verbosity is 2 or more.
func Debug(event string, kv ...any) {
	if klog.V(2).Enabled() {
		klog.V(2).InfoSDepth(1, event, kv...)
	}
}
