package calls

import "time"

// Limits are the size and time limits of one call; WithDefaults replaces zero fields.
type Limits struct {
	// OnlineBody is the largest body of an online request, in bytes; 8 MiB by default.
	OnlineBody int64
	// FileBody is the largest uploaded file, in bytes; 1 GiB by default.
	FileBody int64
	// ReadTimeout bounds the reading of an online request's body; 30 s by default.
	ReadTimeout time.Duration
	// UploadTimeout bounds the reading of an uploaded file; 10 min by default.
	UploadTimeout time.Duration
	// WriteTimeout bounds one write to a caller, which may read slowly; 10 s by default.
	WriteTimeout time.Duration
	// DefaultDeadline is the timeout of requests that set none; 60 s by default.
	DefaultDeadline time.Duration
	// MaxDeadline is the longest timeout that a request may set; 10 min by default.
	MaxDeadline time.Duration
}

// WithDefaults returns a copy in which each zero field has its default.
func (l Limits) WithDefaults() Limits {
	setDefaultBytes(&l.OnlineBody, 8<<20)
	setDefaultBytes(&l.FileBody, 1<<30)
	setDefaultDuration(&l.ReadTimeout, 30*time.Second)
	setDefaultDuration(&l.UploadTimeout, 10*time.Minute)
	setDefaultDuration(&l.WriteTimeout, 10*time.Second)
	setDefaultDuration(&l.DefaultDeadline, time.Minute)
	setDefaultDuration(&l.MaxDeadline, 10*time.Minute)
	return l
}

func setDefaultBytes(n *int64, value int64) {
	if *n == 0 {
		*n = value
	}
}

func setDefaultDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
