package protocol

import "encoding/json"

// Item is a key of the state service.
type Item struct {
	Key     string          `json:"path"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"` // the revision that wrote it
}

// Page is one page of a read by prefix.
type Page struct {
	Items    []Item `json:"rows"`      // in the order of their keys
	More     bool   `json:"more"`      // there are keys after the last one of this page
	Revision uint64 `json:"ledgerRev"` // the state service's revision at the read
}

// Condition compares a key's version (0: the key does not exist).
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"stamp"`
}

// Change puts or deletes one key.
type Change struct {
	Put    string          `json:"set,omitempty"`    // the key to put, or ""
	Value  json.RawMessage `json:"data,omitempty"`   // of a put
	Lease  uint64          `json:"tenure,omitempty"` // of a put: the session lease with whose end the key goes; 0: none
	Delete string          `json:"drop,omitempty"`   // the key to delete, or ""
}

// Txn is a transaction: all of its changes are made if all of its conditions hold, or none.
type Txn struct {
	If   []Condition `json:"when"`
	Then []Change    `json:"apply,omitempty"`
}

// TxnResult is the answer to a transaction.
type TxnResult struct {
	Failed   []string `json:"failed"`    // the keys whose conditions do not hold
	Revision uint64   `json:"ledgerRev"` // the revision that the transaction made, or the present one
}

// Event is one change in the answer to a watch.
type Event struct {
	Put     string          `json:"set"`   // the key that was put, or ""
	Value   json.RawMessage `json:"data"`  // of a put
	Delete  string          `json:"drop"`  // the key that was deleted, or ""
	Version uint64          `json:"stamp"` // the revision of the change
}

// Events answers a watch.
type Events struct {
	Revision uint64  `json:"ledgerRev"` // all changes up to it are listed; the next watch begins here
	Events   []Event `json:"news"`      // in the order of their revisions
}

// RequestPriority says how deep a transaction may dig into the budget of changes.
type RequestPriority uint8

// From what can wait to what must not.
const (
	BackgroundRequest RequestPriority = iota // the controller's own work: waits until the budget allows it
	UserRequest                              // a user waits for it: goes ahead on credit, or is refused soon
	UrgentRequest                            // membership and safety: goes at once, whatever the budget
)
