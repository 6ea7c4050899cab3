package calls

import "time"

// Limits bounds what one call may take; a zero field takes its default.
type Limits struct {
	// OnlineBody is the largest body of an online request, in bytes; 8 MiB by default.
	OnlineBody int64
	// FileBody is the largest uploaded file, in bytes; 1 GiB by default.
	FileBody int64
	// ReadTimeout bounds the reading of an online request's body; 30 s by default.
	ReadTimeout time.Duration
	// UploadTimeout bounds the reading of an uploaded file; 10 min by default.
	UploadTimeout time.Duration
	// WriteTimeout bounds one write to a caller, who may read slowly; 10 s by default.
	WriteTimeout time.Duration
	// DefaultDeadline holds for requests that set none; 60 s by default.
	DefaultDeadline time.Duration
	// MaxDeadline bounds what requests may ask for; 10 min by default.
	MaxDeadline time.Duration
}

// WithDefaults fills in the fields that are zero.
func (l Limits) WithDefaults() Limits {
	orBytes(&l.OnlineBody, 8<<20)
	orBytes(&l.FileBody, 1<<30)
	orDuration(&l.ReadTimeout, 30*time.Second)
	orDuration(&l.UploadTimeout, 10*time.Minute)
	orDuration(&l.WriteTimeout, 10*time.Second)
	orDuration(&l.DefaultDeadline, time.Minute)
	orDuration(&l.MaxDeadline, 10*time.Minute)
	return l
}

func orBytes(n *int64, byDefault int64) {
	if *n == 0 {
		*n = byDefault
	}
}

func orDuration(d *time.Duration, byDefault time.Duration) {
	if *d == 0 {
		*d = byDefault
	}
}
