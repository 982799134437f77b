package cluster

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"go.etcd.io/bbolt"

	"papayajunction/internal/storage/boltlog"
)

// TestUnreadableIncarnation: a replica that can't read its data directory closes it again, so that another process can open
// it.
func TestUnreadableIncarnation(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	db, err := bbolt.Open(filepath.Join(dir, boltlog.FileName), 0o600, nil)
	is.NoErr(err)
	is.NoErr(db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucket([]byte("meta"))
		if err != nil {
			return err
		}
		return meta.Put([]byte("incarnation"), []byte("torn"))
	}))
	is.NoErr(db.Close())
	_, _, err = newReplica(&VM{options: Options{DataDir: dir, Metrics: metrics.NewSet()}})
	is.True(err != nil)
	db, err = bbolt.Open(filepath.Join(dir, boltlog.FileName), 0o600, &bbolt.Options{Timeout: time.Second})
	is.NoErr(err)
	is.NoErr(db.Close())
}
