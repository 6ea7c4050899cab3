package event

import (
	"github.com/phuslu/log"
)

// ID is the number of one kind of log line. A number keeps its meaning forever and is
// never reused.
type ID int

// The events. The hundreds digit is the area: 1 process, 2 routing, 3 gate, 4 retries
// and crashes, 5 jobs, 6 configuration, 7 placement, 8 membership, 9 callers' requests.
const (
	Started          ID = 101
	Stopping         ID = 102
	Stopped          ID = 103
	Failed           ID = 104
	Reloaded         ID = 105
	LinesDropped     ID = 106
	LeavingChecked   ID = 107
	LeavingEnded     ID = 108
	LeavingCounted   ID = 109
	RouteChosen      ID = 201
	RouteNone        ID = 202
	LinkUp           ID = 203
	LinkDown         ID = 204
	LinkSilent       ID = 205
	NotReserved      ID = 206
	CallerUnknown    ID = 207
	OverQuota        ID = 208
	HomeSilent       ID = 209
	SpeedChanged     ID = 210
	SlotsScarce      ID = 211
	Yielded          ID = 212
	OriginFound      ID = 213
	VersionsChanged  ID = 214
	ServiceFound     ID = 215
	VersionsRecorded ID = 216
	StreamUnrecorded ID = 217
	GateAdmitted     ID = 301
	GateRefused      ID = 302
	GatePreempted    ID = 303
	GateSlots        ID = 304
	Retried          ID = 401
	RetryDenied      ID = 402
	BackendCrashed   ID = 403
	Quarantined      ID = 404
	FrameDropped     ID = 405
	StreamResumed    ID = 406
	BackendState     ID = 407
	BackendBrokeOff  ID = 408
	EndUnproven      ID = 409
	PartRejected     ID = 410
	PartBlamed       ID = 411
	VerdictSaved     ID = 412
	JobAccepted      ID = 501
	JobCancelled     ID = 502
	JobFinished      ID = 503
	ShardClaimed     ID = 504
	ShardLost        ID = 505
	ItemFailed       ID = 506
	Checkpointed     ID = 507
	LogOutage        ID = 508
	LogBack          ID = 509
	ItemStarted      ID = 510
	ItemStopped      ID = 511
	ItemRecorded     ID = 512
	ItemGaveWay      ID = 513
	RecordSkipped    ID = 514
	AppendFailed     ID = 515
	JobsExpired      ID = 516
	HandedOn         ID = 517
	BodiesRead       ID = 518
	JobsClaimed      ID = 519
	JobPassed        ID = 520
	StartRecorded    ID = 521
	HeadroomChanged  ID = 522
	ItemDelayed      ID = 523
	ItemStartedOver  ID = 524
	ItemHeld         ID = 525
	ItemPostponed    ID = 526
	FailuresAsked    ID = 527
	JobPostponed     ID = 528
	BundleAccepted   ID = 601
	BundleRejected   ID = 602
	BundleInForce    ID = 603
	PeerAsked        ID = 604
	ModelLoaded      ID = 701
	ModelUnloaded    ID = 702
	OrderRefused     ID = 703
	PlacementChosen  ID = 704
	PeerUp           ID = 801
	PeerDown         ID = 802
	ListChanged      ID = 803
	RequestRefused   ID = 901
	RequestServed    ID = 902
	CallerLeft       ID = 903
	AnswerBroken     ID = 904
	TryFailed        ID = 905
	RequestHeld      ID = 906
	StartAwaited     ID = 907
	ConnectionsShed  ID = 908
	ResponseTooLarge ID = 909
	ClientsRejected  ID = 910
	ResponseNoRoom   ID = 911
)

// Logger writes numbered events as JSON lines. The zero value and a nil Logger discard them.
type Logger struct {
	// Sink writes the lines; nil discards them.
	Sink *log.Logger
	// Process is the id of the instance; every line carries it.
	Process string
	// Budget limits the lines per second; nil is no limit.
	Budget *Budget
}

// Info starts the line of an ordinary event. The caller adds fields and writes the line
// with Msg.
func (l *Logger) Info(id ID) *log.Entry {
	return l.start(log.InfoLevel, id)
}

// Warn starts the line of an event that an operator may have to look at, as Info does.
func (l *Logger) Warn(id ID) *log.Entry {
	return l.start(log.WarnLevel, id)
}

// Error starts the line of an event that may have cost callers requests, such as a crash of
// a backend server, as Info does.
func (l *Logger) Error(id ID) *log.Entry {
	return l.start(log.ErrorLevel, id)
}

func (l *Logger) start(level log.Level, id ID) *log.Entry {
	if l == nil || l.Sink == nil || level < l.Sink.Level {
		return nil
	}
	if l.Budget != nil {
		if !l.Budget.allow(level) {
			return nil
		}
		if n := l.Budget.takeUnreported(); n > 0 {
			l.Sink.WithLevel(log.WarnLevel).Int("event", int(LinesDropped)).Str("process", l.Process).Int64("lines", n).
				Msg("lines dropped over the budget")
		}
	}
	return l.Sink.WithLevel(level).Int("event", int(id)).Str("process", l.Process)
}
