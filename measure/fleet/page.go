package fleet

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/standin/dfustorestandin"

	"github.com/cockroachdb/errors"
)

// pageTimeout is the timeout for reading one page.
const pageTimeout = 2 * time.Second

var httpClient = http.Client{Timeout: pageTimeout}

// NodeStatus is the measured part of a node's status page.
type NodeStatus struct {
	View struct {
		Entries map[dfuident.Service]dfuident.Revision `json:"entries"`
	} `json:"view"`
	Control struct {
		States  map[dfuroster.State]int `json:"states"`
		Watcher bool                    `json:"watcher"`
		Bridge  bool                    `json:"bridge"`
	} `json:"control"`
}

// ReadNodeStatus reads the status page of the node at an address.
func ReadNodeStatus(ctx context.Context, address string) (NodeStatus, error) {
	var page NodeStatus
	err := getJSON(ctx, "http://"+address+"/dragonflyusher/status", &page)
	return page, err
}

// ReadStoreCalls returns how many calls of each kind a store stand-in has received,
// including refused and dropped ones.
func ReadStoreCalls(ctx context.Context, store string) (dfustorestandin.Counts, error) {
	var page struct {
		Counts dfustorestandin.Counts `json:"counts"`
	}
	err := getJSON(ctx, "http://"+store+"/admin", &page)
	return page.Counts, err
}

func getJSON(ctx context.Context, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "read page")
	}
	reply, err := httpClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "read page")
	}
	err = json.NewDecoder(reply.Body).Decode(v)
	return errors.CombineErrors(errors.Wrap(err, "decode page"), reply.Body.Close())
}
