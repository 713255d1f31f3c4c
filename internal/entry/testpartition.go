package entry

import (
	"bytes"
	"os"

	"github.com/tarragonpoint/tarragonpoint/internal/logging"
	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/peer"
)

// partitionFileVariable is an environment variable for process tests, not a setting. It names a file with the IDs of
// entry VMs, one a line, to which this process sends no messages, as in a network partition. Without the variable no
// filter is installed. The filter can only drop messages, which the protocol tolerates at any time.
const partitionFileVariable = "TARRAGONPOINT_TEST_CUT_FILE"

// installTestPartition installs the message filter if the environment variable is set. The file is read for each
// message, so that a test can change it at any time; if it cannot be read, no message is dropped.
func installTestPartition(transport peer.Transport, log *logging.Logger) {
	path := os.Getenv(partitionFileVariable)
	socket, ok := transport.(*peer.WebSocket)
	if path == "" || !ok {
		return
	}
	log.Warn("Test hook: messages to the entry VMs listed in a file are dropped.")
	socket.Filter = func(_, to model.VMID, _ message.Message) bool {
		data, err := os.ReadFile(path)
		return err != nil || !isListed(data, to)
	}
}

// isListed reports whether a line of data is the VM's ID.
func isListed(data []byte, vm model.VMID) bool {
	for line := range bytes.Lines(data) {
		if string(bytes.TrimSpace(line)) == string(vm) {
			return true
		}
	}
	return false
}
