package compat

import (
	"os"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"curlewreach/internal/bundle"
	"curlewreach/proto/wire"
)

func TestCompat(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "compat")
}

func firstSchema() *protoregistry.Files {
	raw, err := os.ReadFile("testdata/first.pb")
	Expect(err).NotTo(HaveOccurred())
	set := &descriptorpb.FileDescriptorSet{}
	Expect(proto.Unmarshal(raw, set)).To(Succeed())
	files, err := protodesc.NewFiles(set)
	Expect(err).NotTo(HaveOccurred())
	return files
}

func forEachMessage(files *protoregistry.Files, visit func(protoreflect.MessageDescriptor)) {
	files.RangeFilesByPackage("curlewreach", func(file protoreflect.FileDescriptor) bool {
		for i := range file.Messages().Len() {
			visit(file.Messages().Get(i))
		}
		return true
	})
}

func incompatibilities(old, now protoreflect.MessageDescriptor) (faults []string) {
	fault := func(field protoreflect.FieldDescriptor, what string) {
		faults = append(faults, string(old.Name())+"."+string(field.Name())+": "+what)
	}
	for i := range old.Fields().Len() {
		was := old.Fields().Get(i)
		is := now.Fields().ByNumber(was.Number())
		switch {
		case is == nil && !now.ReservedRanges().Has(was.Number()):
			fault(was, "its number was freed without being reserved")
		case is == nil:
		case is.Name() != was.Name():
			fault(was, "its number was reused for "+string(is.Name()))
		case is.Kind() != was.Kind() || is.Cardinality() != was.Cardinality() || is.IsMap() != was.IsMap():
			fault(was, "it was retyped")
		case was.Kind() == protoreflect.MessageKind && was.Message().FullName() != is.Message().FullName():
			fault(was, "it holds another message")
		}
	}
	return faults
}

// fill sets every field of a message, nested ones down to a depth.
func fill(message protoreflect.Message, depth int) {
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		switch {
		case field.IsMap():
			message.Set(field, newMap(message, field))
		case field.IsList():
			message.Set(field, newList(message, field, depth))
		case field.Kind() == protoreflect.MessageKind:
			if depth > 0 {
				fill(message.Mutable(field).Message(), depth-1)
			}
		default:
			message.Set(field, scalarValue(field))
		}
	}
}

func newMap(message protoreflect.Message, field protoreflect.FieldDescriptor) protoreflect.Value {
	value := message.NewField(field).Map()
	held := value.NewValue()
	if field.MapValue().Kind() != protoreflect.MessageKind {
		held = scalarValue(field.MapValue())
	}
	value.Set(protoreflect.ValueOfString("key").MapKey(), held)
	return protoreflect.ValueOfMap(value)
}

func newList(message protoreflect.Message, field protoreflect.FieldDescriptor, depth int) protoreflect.Value {
	list := message.NewField(field).List()
	for range 2 {
		if field.Kind() != protoreflect.MessageKind {
			list.Append(scalarValue(field))
			continue
		}
		item := list.NewElement()
		if depth > 0 {
			fill(item.Message(), depth-1)
		}
		list.Append(item)
	}
	return protoreflect.ValueOfList(list)
}

func scalarValue(field protoreflect.FieldDescriptor) protoreflect.Value {
	switch field.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(7)
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(-7)
	case protoreflect.Uint64Kind:
		return protoreflect.ValueOfUint64(1 << 40)
	case protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(-1 << 40)
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(0.25)
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte{0, 255})
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(1)
	}
	return protoreflect.ValueOfString("é")
}

var _ = ginkgo.Describe("one version apart", func() {
	ginkgo.It("given the first landing's schema, when compared with today's, then no field number was reused, retyped or freed", func() {
		count := 0
		forEachMessage(firstSchema(), func(old protoreflect.MessageDescriptor) {
			now, err := protoregistry.GlobalFiles.FindDescriptorByName(old.FullName())
			Expect(err).NotTo(HaveOccurred(), string(old.FullName()))
			Expect(incompatibilities(old, now.(protoreflect.MessageDescriptor))).To(BeEmpty())
			count++
		})
		Expect(count).To(BeNumerically(">", 50))
	})

	ginkgo.It("given a schema with a reused and a retyped number, when compared, then both are named", func() {
		entry, record := (&wire.Entry{}).ProtoReflect().Descriptor(), (&wire.Record{}).ProtoReflect().Descriptor()
		Expect(incompatibilities(entry, record)).To(ContainElement(ContainSubstring("reused")))
		Expect(incompatibilities(record, entry)).To(ContainElement(ContainSubstring("reused")))
		Expect(incompatibilities(entry, (&wire.KeysRequest{}).ProtoReflect().Descriptor())).To(ContainElement(ContainSubstring("freed")))
		Expect(incompatibilities((&wire.StateReply{}).ProtoReflect().Descriptor(), (&wire.StatusRequest{}).ProtoReflect().Descriptor())).NotTo(BeEmpty())
	})

	ginkgo.It("given every message of the first landing with all fields set, when today's code reads and writes it, then nothing is lost", func() {
		forEachMessage(firstSchema(), func(old protoreflect.MessageDescriptor) {
			before := dynamicpb.NewMessage(old)
			fill(before, 3)
			raw, err := proto.Marshal(before)
			Expect(err).NotTo(HaveOccurred())
			kind, err := protoregistry.GlobalTypes.FindMessageByName(old.FullName())
			Expect(err).NotTo(HaveOccurred())
			today := kind.New().Interface()
			Expect(proto.Unmarshal(raw, today)).To(Succeed())
			Expect(today.ProtoReflect().GetUnknown()).To(BeEmpty(), string(old.Name()))
			again, err := proto.Marshal(today)
			Expect(err).NotTo(HaveOccurred())
			after := dynamicpb.NewMessage(old)
			Expect(proto.Unmarshal(again, after)).To(Succeed())
			Expect(proto.Equal(before, after)).To(BeTrue(), string(old.Name()))
		})
	})

	ginkgo.It("given today's messages with all fields set, when the first landing's code passes them on, then fields it doesn't know survive", func() {
		forEachMessage(firstSchema(), func(old protoreflect.MessageDescriptor) {
			kind, err := protoregistry.GlobalTypes.FindMessageByName(old.FullName())
			Expect(err).NotTo(HaveOccurred())
			today := kind.New()
			fill(today, 3)
			raw, err := proto.Marshal(today.Interface())
			Expect(err).NotTo(HaveOccurred())
			passing := dynamicpb.NewMessage(old)
			Expect(proto.Unmarshal(raw, passing)).To(Succeed())
			passed, err := proto.Marshal(passing)
			Expect(err).NotTo(HaveOccurred())
			again := kind.New().Interface()
			Expect(proto.Unmarshal(passed, again)).To(Succeed())
			Expect(proto.Equal(today.Interface(), again)).To(BeTrue(), string(old.Name()))
		})
	})

	ginkgo.It("given a node's slice written by the first landing, when read, then it opens whole", func() {
		raw, err := os.ReadFile("testdata/slice")
		Expect(err).NotTo(HaveOccurred())
		sealed := &wire.Sealed{}
		Expect(proto.Unmarshal(raw, sealed)).To(Succeed())
		signed, mishap := bundle.Decode(sealed)
		Expect(mishap).To(BeNil())
		Expect(signed.Serial).To(Equal(uint64(2)))
		_, known := bundle.Index(sealed, signed).Match("POST", "/lending/hold/7")
		Expect(known).To(BeTrue())
	})
})
