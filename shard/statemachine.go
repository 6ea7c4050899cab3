package shard

import (
	"context"

	"github.com/looplab/fsm"

	"github.com/sardinerock/sardinerock"
)

// Events of the state machine of jobs.
const (
	eventSeal   = "seal"
	eventCancel = "cancel"
	eventStop   = "stop"
	eventFinish = "finish"
	eventExpire = "expire"
)

func stateNames(all ...sardinerock.JobState) []string {
	var names []string
	for _, s := range all {
		names = append(names, string(s))
	}
	return names
}

// newStateMachine returns the state machine that all jobs of a shard share. A machine per job would take more
// memory than the job, so each event first sets the machine to the job's state.
func newStateMachine() *fsm.FSM {
	return fsm.NewFSM(string(sardinerock.JobUploading), fsm.Events{
		{Name: eventSeal, Src: stateNames(sardinerock.JobUploading), Dst: string(sardinerock.JobRunning)},
		{Name: eventCancel, Src: stateNames(sardinerock.JobRunning), Dst: string(sardinerock.JobCancelling)},
		{Name: eventStop, Src: stateNames(sardinerock.JobCancelling), Dst: string(sardinerock.JobCancelled)},
		{Name: eventFinish, Src: stateNames(sardinerock.JobRunning), Dst: string(sardinerock.JobFinished)},
		{Name: eventExpire, Src: stateNames(sardinerock.JobFinished, sardinerock.JobCancelled), Dst: string(sardinerock.JobExpired)},
	}, nil)
}

// fire applies the event to the job, and returns false if the job's state doesn't allow it.
func (s *State) fire(j *Job, event string) bool {
	s.machine.SetState(string(j.State))
	if err := s.machine.Event(context.Background(), event); err != nil {
		return false
	}
	j.State = sardinerock.JobState(s.machine.Current())
	return true
}
