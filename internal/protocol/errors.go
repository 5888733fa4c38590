package protocol

import "errors"

// What a request to another service may come to.
var (
	ErrRefused    = errors.New("refused")              // certainly not executed
	ErrUnknown    = errors.New("outcome unknown")      // may have been executed, or may be later
	ErrNotFound   = errors.New("not found")            // 404
	ErrTooOld     = errors.New("revision is too old")  // a follow has to begin with a new read
	ErrTooLarge   = errors.New("over a limit of size") // 400: a value or a transaction is too large; comes with ErrRefused
	ErrNoLease    = errors.New("no such hold")         // a hold has ended
	ErrNoCapacity = errors.New("no capacity")          // nothing of the type, zone and kind to rent now
)
