package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time on two clocks of the same machine.
type Instant struct {
	// Time is for comparison with other times of this process.
	time.Time
	// Boot is the time since boot by CLOCK_BOOTTIME, which neither stops while the
	// machine is suspended nor jumps.
	Boot time.Duration
}

// Now returns the current instant.
//
// The monotonic clock in time.Time stops while a machine is suspended. By that
// clock an entry that was suspended for ten seconds would take its configuration
// to be half a second old and admit callers whose keys were revoked meanwhile.
func Now() Instant { return Instant{Time: time.Now(), Boot: Boot()} }

// Earlier returns the instant d before i on both clocks.
func (i Instant) Earlier(d time.Duration) Instant {
	return Instant{Time: i.Add(-d), Boot: i.Boot - d}
}

// Boot returns the time since boot, including the time for which the machine was
// suspended. Without CLOCK_BOOTTIME it returns the time since the process started.
func Boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Kernels without this clock do not suspend the machine either.
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}

// BootClock returns Boot as a time.Time, for differences only. It advances while
// the machine is suspended, as the clocks of other processes do.
func BootClock() time.Time { return time.Unix(0, int64(Boot())) }

// processStart replaces the boot time where CLOCK_BOOTTIME can't be read.
var processStart = time.Now()
