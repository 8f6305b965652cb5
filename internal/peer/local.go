package peer

import (
	"context"

	"github.com/juju/errors"
)

// Method is a service method that takes pointers to its arguments and its reply.
type Method func(args, reply any) error

// LocalCaller calls the listed methods directly if the address is this process's own. All
// other calls go through the embedded Caller. A local call does not end with its context, so a
// listed method must limit its own run time.
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

// TypedMethod adapts a net/rpc style method to Method. The result returns an error if it is
// called with arguments or a reply of other types, which is a programming error.
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
