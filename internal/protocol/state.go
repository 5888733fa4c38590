package protocol

import "encoding/json"

// Item is one key of the state service, with its value.
type Item struct {
	Key     string          `json:"path"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"` // revision of the last write
}

// Page is one page of the keys with a prefix.
type Page struct {
	Items    []Item `json:"rows"`      // ordered by key
	More     bool   `json:"more"`      // whether more keys follow the last one of this page
	Revision uint64 `json:"ledgerRev"` // revision of the state service at the time of the read
}

// Condition holds if a key has the given version; 0 means that the key does not exist.
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"stamp"`
}

// Change writes or deletes one key.
type Change struct {
	Put    string          `json:"set,omitempty"`    // the key to write, or ""
	Value  json.RawMessage `json:"data,omitempty"`   // the value to write
	Lease  uint64          `json:"tenure,omitempty"` // for a write: the session lease on whose expiry the key is deleted; 0: none
	Delete string          `json:"drop,omitempty"`   // the key to delete, or ""
}

// Txn is a transaction: if all conditions hold, all changes are made, otherwise none.
type Txn struct {
	If   []Condition `json:"when"`
	Then []Change    `json:"apply,omitempty"`
}

// TxnResult is the answer to a transaction.
type TxnResult struct {
	Failed   []string `json:"failed"`    // the keys whose conditions did not hold
	Revision uint64   `json:"ledgerRev"` // the revision that the transaction created, or the current one
}

// Event is one change in the answer to a watch.
type Event struct {
	Put     string          `json:"set"`   // the key that was written, or ""
	Value   json.RawMessage `json:"data"`  // the value that was written
	Delete  string          `json:"drop"`  // the key that was deleted, or ""
	Version uint64          `json:"stamp"` // the revision of the change
}

// Events is the answer to a watch request.
type Events struct {
	Revision uint64  `json:"ledgerRev"` // all changes up to this revision are listed; the next watch starts from it
	Events   []Event `json:"news"`      // ordered by revision
}

// RequestPriority determines how far a transaction may use up or exceed the budget of changes.
type RequestPriority uint8

// The request priorities, lowest first.
const (
	BackgroundRequest RequestPriority = iota // the controller's own work; waits until the budget allows it
	UserRequest                              // a user waits for the result; is sent on credit, or rejected if it would wait too long
	UrgentRequest                            // membership and safety; is sent at once, whatever the level of the budget
)
