package entry

import (
	"bytes"
	"os"

	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/peer"
)

// cutVariable is a hook for process tests and no setting: it names a file with the IDs of entry VMs, one a line, to which
// this process sends nothing, as if the network between them were cut. Without the variable nothing is installed. The hook
// can only lose
// messages, which the protocol tolerates at any time.
const cutVariable = "TARRAGONPOINT_TEST_CUT_FILE"

// installTestCut installs the cut that the environment asks for. The file is read for each message, so that a test can change
// it at any time; a file that cannot be read cuts nothing.
func installTestCut(transport peer.Transport, log *logging.Logger) {
	path := os.Getenv(cutVariable)
	socket, ok := transport.(*peer.WebSocket)
	if path == "" || !ok {
		return
	}
	log.Warn("Messages to the entry VMs in a test file are dropped.")
	socket.Filter = func(_, to model.VMID, _ message.Message) bool {
		data, err := os.ReadFile(path)
		return err != nil || !isListed(data, to)
	}
}

// isListed reports whether one line of data is the VM's ID.
func isListed(data []byte, vm model.VMID) bool {
	for line := range bytes.Lines(data) {
		if string(bytes.TrimSpace(line)) == string(vm) {
			return true
		}
	}
	return false
}
