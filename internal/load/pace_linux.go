package load

import (
	"syscall"
	"time"
)

// preciseSleep blocks the thread. A signal may end it early, by at most coarseWait.
func preciseSleep(d time.Duration) {
	wait := syscall.NsecToTimespec(d.Nanoseconds())
	_ = syscall.Nanosleep(&wait, nil)
}
