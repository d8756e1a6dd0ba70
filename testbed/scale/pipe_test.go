package scale

import "io"

type pipe struct {
	reader *io.PipeReader
	writer *io.PipeWriter
}

func newPipe() pipe {
	reader, writer := io.Pipe()
	return pipe{reader, writer}
}
