package storage

import "fmt"

// Layout is the cached layout record, which enables the layouts that controllers may write.
type Layout struct {
	LayoutRecord
	Revision uint64 // of the layout record
}

// Packed reports whether the packed layout may be written: every controller can read it.
func (c *Cache) Packed() bool { return c.layoutEnabled(LayoutPacked) }

// TeamChangesEnabled reports whether team records may be written: every controller can read them.
func (c *Cache) TeamChangesEnabled() bool { return c.layoutEnabled(LayoutTeams) }

func (c *Cache) layoutEnabled(layout int) bool {
	return c.Layout.Version >= layout && !c.ForcePlainLayout
}

// applyLayout applies a change of the layout record. An earlier layout than the enabled one is
// ignored.
func (c *Cache) applyLayout(change recordChange) error {
	if change.deleted {
		return fmt.Errorf("%w: the layout record is never deleted", ErrUnexpectedDeletion)
	}
	record, err := decodeJSON[LayoutRecord](change.value)
	if err != nil {
		return err
	}
	if record.Version >= c.Layout.Version { // an enabled layout is never disabled again
		c.Layout = Layout{record, change.revision}
	}
	return nil
}
