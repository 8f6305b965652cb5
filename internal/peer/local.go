package peer

import (
	"context"

	"github.com/juju/errors"
)

// Method is a service's method as a function of its arguments and reply.
type Method func(args, reply any) error

// LocalCaller answers calls to this process's own address without the network.
// Methods that are not listed go through it all the same. A local call does not
// end with its context: the method bounds itself.
type LocalCaller struct {
	Caller
	Address string
	Methods map[string]Method
}

// Call implements Caller.
func (w *LocalCaller) Call(ctx context.Context, address, method string, args, reply any) error {
	do := w.Methods[method]
	if address != w.Address || do == nil {
		return w.Caller.Call(ctx, address, method, args, reply)
	}
	if err := do(args, reply); err != nil {
		return decodeError(err.Error())
	}
	return nil
}

// TypedMethod turns a method of net/rpc's form into a Method. It fails with an error
// for arguments of other types, which is a fault of the program.
func TypedMethod[A, R any](method func(*A, *R) error) Method {
	return func(args, reply any) error {
		a, okArgs := args.(*A)
		r, okReply := reply.(*R)
		if !okArgs || !okReply {
			return errors.Errorf("local call with %T and %T", args, reply)
		}
		return method(a, r)
	}
}
