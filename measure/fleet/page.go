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

// pageTimeout bounds the read of one page.
const pageTimeout = 2 * time.Second

var client = http.Client{Timeout: pageTimeout}

// NodePage is the part of a node's status that is measured.
type NodePage struct {
	View struct {
		Entries map[dfuident.Service]dfuident.Revision `json:"entries"`
	} `json:"view"`
	Control struct {
		States  map[dfuroster.State]int `json:"states"`
		Watcher bool                    `json:"watcher"`
		Bridge  bool                    `json:"bridge"`
	} `json:"control"`
}

// ReadNodePage returns the status of the node at an address.
func ReadNodePage(ctx context.Context, address string) (NodePage, error) {
	var page NodePage
	err := read(ctx, "http://"+address+"/dragonflyusher/status", &page)
	return page, err
}

// ReadCalls returns how many reads, watches and writes a store stand-in has
// answered.
func ReadCalls(ctx context.Context, store string) (dfustorestandin.Counts, error) {
	var page struct {
		Counts dfustorestandin.Counts `json:"counts"`
	}
	err := read(ctx, "http://"+store+"/admin", &page)
	return page.Counts, err
}

func read(ctx context.Context, url string, answer any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "read page")
	}
	reply, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "read page")
	}
	err = json.NewDecoder(reply.Body).Decode(answer)
	return errors.CombineErrors(errors.Wrap(err, "decode page"), reply.Body.Close())
}
