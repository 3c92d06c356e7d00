//go:build !linux

package load

import "time"

// preciseSleep has the resolution of the runtime's timers where nanosleep is not at hand.
func preciseSleep(d time.Duration) { time.Sleep(d) }
