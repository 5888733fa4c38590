package storage

import "fmt"

// Layout is the gate between the layouts as the cache has it.
type Layout struct {
	LayoutRecord
	Revision uint64 // of its record
}

// Packed tells whether every controller reads the packed layout, so that it may be written.
func (c *Cache) Packed() bool { return c.layoutEnabled(LayoutPacked) }

// TeamChangesEnabled tells whether every controller reads changed teams, so that there may be some.
func (c *Cache) TeamChangesEnabled() bool { return c.layoutEnabled(LayoutTeams) }

func (c *Cache) layoutEnabled(layout int) bool { return c.Layout.Version >= layout && !c.ForcePlain }

// applyLayout takes the gate's record.
func (c *Cache) applyLayout(change recordChange) error {
	if change.deleted {
		return fmt.Errorf("%w: the layout", ErrUnexpectedDeletion)
	}
	record, err := decodeJSON[LayoutRecord](change.value)
	if err != nil {
		return err
	}
	if record.Version >= c.Layout.Version { // the gate never closes again
		c.Layout = Layout{record, change.revision}
	}
	return nil
}
