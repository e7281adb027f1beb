package htconfig

import (
	"encoding/json"
	"fmt"
	"strings"

	"hawthornturn/core/htresource"
	"hawthornturn/core/httable"
)

const (
	rowPrefix = "config/"
	headKey   = "config/head"
	// maxRecent is the number of transaction ids kept in the head row. A writer
	// that lost the response to a commit can find the result there until this many
	// other transactions have followed. The number is small because every host reads
	// the head once a second.
	maxRecent = 16
)

// headRow is the value of config/head.
type headRow struct {
	Revision uint64   `json:"revision"`
	Recent   []string `json:"recent"` // ids of the last transactions, newest last
}

// resourceRow is the value of config/KIND/NAME. A deleted resource stays as a
// tombstone without a resource.
type resourceRow struct {
	Revision uint64          `json:"revision"` // revision of the last change
	Deleted  bool            `json:"deleted,omitempty"`
	Resource json.RawMessage `json:"resource,omitempty"`
}

// State is the declared state as read from the table. It is immutable. The version of
// a resource is the revision of the declared state at which it last changed. The table
// version of a row is httable.Row.Version, which the table service assigns.
type State struct {
	Set *htresource.Set
	// Versions maps KIND/NAME to the version of the resource. It does not contain
	// deleted resources.
	Versions map[string]uint64

	head             headRow
	headTableVersion uint64
	rowTableVersions map[string]uint64 // row key to table version, including tombstones
}

func newState(rows []httable.Row) (*State, error) {
	s := &State{Set: &htresource.Set{}, Versions: map[string]uint64{}, rowTableVersions: map[string]uint64{}}
	for _, row := range rows {
		if err := s.addRow(row); err != nil {
			return nil, fmt.Errorf("row %s: %w", row.Key, err)
		}
	}
	s.Set.Revision = s.head.Revision
	s.Set.Sort()
	return s, nil
}

func (s *State) addRow(row httable.Row) error {
	if row.Key == headKey {
		s.headTableVersion = row.Version
		return json.Unmarshal(row.Value, &s.head)
	}
	s.rowTableVersions[row.Key] = row.Version
	var value resourceRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return err
	}
	if value.Deleted {
		return nil
	}
	key := strings.TrimPrefix(row.Key, rowPrefix)
	kind, _, _ := strings.Cut(key, "/")
	resource, err := htresource.DecodeJSON(htresource.Kind(kind), value.Resource)
	if err != nil {
		return err
	}
	s.Set.Add(resource)
	s.Versions[key] = value.Revision
	return nil
}

// next returns the state after txn, which replaced s by set. The rows that txn wrote
// have tableVersion.
func (s *State) next(set *htresource.Set, changes []htresource.Change, txn httable.Txn, tableVersion uint64) *State {
	n := &State{Set: set, Versions: map[string]uint64{}, rowTableVersions: map[string]uint64{}}
	n.head = headRow{Revision: set.Revision, Recent: s.nextRecent(txn.ID)}
	n.headTableVersion = tableVersion
	for key, revision := range s.Versions {
		n.Versions[key] = revision
	}
	for rowKey, v := range s.rowTableVersions {
		n.rowTableVersions[rowKey] = v
	}
	for _, c := range changes {
		key := string(c.Kind) + "/" + c.Name
		n.rowTableVersions[rowPrefix+key] = tableVersion
		n.Versions[key] = set.Revision
		if c.Action == htresource.ActionDelete {
			delete(n.Versions, key)
		}
	}
	return n
}

// txn returns the transaction that replaces s by set. Its first write is the head,
// because every competing transaction has a condition on the head.
func (s *State) txn(id string, set *htresource.Set, changes []htresource.Change) (httable.Txn, error) {
	txn := httable.Txn{ID: id, Conditions: []httable.Condition{{Key: headKey, Version: s.headTableVersion}}}
	head, err := json.Marshal(headRow{Revision: set.Revision, Recent: s.nextRecent(id)})
	if err != nil {
		return txn, err
	}
	txn.Writes = append(txn.Writes, httable.Write{Key: headKey, Value: head})
	declared := set.Index()
	for _, c := range changes {
		key := string(c.Kind) + "/" + c.Name
		rowKey := rowPrefix + key
		value := resourceRow{Revision: set.Revision, Deleted: c.Action == htresource.ActionDelete}
		if resource, ok := declared[key]; ok {
			if value.Resource, err = json.Marshal(resource); err != nil {
				return txn, err
			}
		}
		data, err := json.Marshal(value)
		if err != nil {
			return txn, err
		}
		txn.Conditions = append(txn.Conditions, httable.Condition{Key: rowKey, Version: s.rowTableVersions[rowKey]})
		txn.Writes = append(txn.Writes, httable.Write{Key: rowKey, Value: data})
	}
	return txn, nil
}

// nextRecent returns the recent transaction ids with id appended, at most maxRecent.
func (s *State) nextRecent(id string) []string {
	recent := append(append([]string(nil), s.head.Recent...), id)
	return recent[max(len(recent)-maxRecent, 0):]
}
