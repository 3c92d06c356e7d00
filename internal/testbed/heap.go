package testbed

import (
	"runtime"
	"time"
)

// heapSampleInterval is the time between two samples of the heap.
const heapSampleInterval = 2 * time.Millisecond

// HeapGrowth samples the heap of this process until the returned function is called, which returns
// the highest value in bytes above that at the start.
func HeapGrowth() (peak func() int64) {
	runtime.GC()
	var start, m runtime.MemStats
	runtime.ReadMemStats(&start)
	stop, highest := make(chan struct{}), make(chan int64)
	go func() {
		var most int64
		for {
			runtime.ReadMemStats(&m)
			most = max(most, int64(m.HeapAlloc)-int64(start.HeapAlloc))
			select {
			case <-stop:
				highest <- most
				return
			case <-time.After(heapSampleInterval):
			}
		}
	}()
	return func() int64 { close(stop); return <-highest }
}
