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

// firstSchema returns the schema of the first version, the oldest one that must stay readable.
func firstSchema() *protoregistry.Files {
	raw, err := os.ReadFile("testdata/first.pb")
	Expect(err).NotTo(HaveOccurred())
	set := &descriptorpb.FileDescriptorSet{}
	Expect(proto.Unmarshal(raw, set)).To(Succeed())
	files, err := protodesc.NewFiles(set)
	Expect(err).NotTo(HaveOccurred())
	return files
}

// forEachMessage visits the top-level messages of the package curlewreach.
func forEachMessage(files *protoregistry.Files, visit func(protoreflect.MessageDescriptor)) {
	files.RangeFilesByPackage("curlewreach", func(file protoreflect.FileDescriptor) bool {
		for i := range file.Messages().Len() {
			visit(file.Messages().Get(i))
		}
		return true
	})
}

// incompatibilities returns the fields of the old message that the new one reuses, retypes or
// frees. Any of these makes one version misread what the other wrote.
func incompatibilities(old, current protoreflect.MessageDescriptor) (found []string) {
	report := func(field protoreflect.FieldDescriptor, what string) {
		found = append(found, string(old.Name())+"."+string(field.Name())+": "+what)
	}
	for i := range old.Fields().Len() {
		oldField := old.Fields().Get(i)
		newField := current.Fields().ByNumber(oldField.Number())
		switch {
		case newField == nil && !current.ReservedRanges().Has(oldField.Number()):
			report(oldField, "its number was freed without being reserved")
		case newField == nil:
		case newField.Name() != oldField.Name():
			report(oldField, "its number was reused for "+string(newField.Name()))
		case newField.Kind() != oldField.Kind() || newField.Cardinality() != oldField.Cardinality() || newField.IsMap() != oldField.IsMap():
			report(oldField, "it was retyped")
		case oldField.Kind() == protoreflect.MessageKind && oldField.Message().FullName() != newField.Message().FullName():
			report(oldField, "it holds another message")
		}
	}
	return found
}

// fill sets every field of a message, and of nested messages down to a depth.
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

// newMap returns a map value with one entry.
func newMap(message protoreflect.Message, field protoreflect.FieldDescriptor) protoreflect.Value {
	value := message.NewField(field).Map()
	held := value.NewValue()
	if field.MapValue().Kind() != protoreflect.MessageKind {
		held = scalarValue(field.MapValue())
	}
	value.Set(protoreflect.ValueOfString("key").MapKey(), held)
	return protoreflect.ValueOfMap(value)
}

// newList returns a list value with two elements.
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

// scalarValue returns a value of the field's kind other than zero.
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

var _ = ginkgo.Describe("compatibility with the first version", func() {
	ginkgo.It("given the schema of the first version, when compared with the current one, then no field number was reused, retyped or freed", func() {
		count := 0
		forEachMessage(firstSchema(), func(old protoreflect.MessageDescriptor) {
			current, err := protoregistry.GlobalFiles.FindDescriptorByName(old.FullName())
			Expect(err).NotTo(HaveOccurred(), string(old.FullName()))
			Expect(incompatibilities(old, current.(protoreflect.MessageDescriptor))).To(BeEmpty())
			count++
		})
		Expect(count).To(BeNumerically(">", 50))
	})

	ginkgo.It("given messages with reused, retyped and freed numbers, when compared, then each is reported", func() {
		entry, record := (&wire.Entry{}).ProtoReflect().Descriptor(), (&wire.Record{}).ProtoReflect().Descriptor()
		Expect(incompatibilities(entry, record)).To(ContainElement(ContainSubstring("reused")))
		Expect(incompatibilities(record, entry)).To(ContainElement(ContainSubstring("reused")))
		Expect(incompatibilities(entry, (&wire.KeysRequest{}).ProtoReflect().Descriptor())).To(ContainElement(ContainSubstring("freed")))
		Expect(incompatibilities((&wire.StateReply{}).ProtoReflect().Descriptor(), (&wire.StatusRequest{}).ProtoReflect().Descriptor())).NotTo(BeEmpty())
	})

	ginkgo.It("given each message of the first version with all fields set, when the current code reads and writes it, then nothing is lost", func() {
		forEachMessage(firstSchema(), func(old protoreflect.MessageDescriptor) {
			before := dynamicpb.NewMessage(old)
			fill(before, 3)
			raw, err := proto.Marshal(before)
			Expect(err).NotTo(HaveOccurred())
			kind, err := protoregistry.GlobalTypes.FindMessageByName(old.FullName())
			Expect(err).NotTo(HaveOccurred())
			current := kind.New().Interface()
			Expect(proto.Unmarshal(raw, current)).To(Succeed())
			Expect(current.ProtoReflect().GetUnknown()).To(BeEmpty(), string(old.Name()))
			again, err := proto.Marshal(current)
			Expect(err).NotTo(HaveOccurred())
			after := dynamicpb.NewMessage(old)
			Expect(proto.Unmarshal(again, after)).To(Succeed())
			Expect(proto.Equal(before, after)).To(BeTrue(), string(old.Name()))
		})
	})

	ginkgo.It("given the current messages with all fields set, when the first version forwards them, then the fields that it does not know are kept", func() {
		forEachMessage(firstSchema(), func(old protoreflect.MessageDescriptor) {
			kind, err := protoregistry.GlobalTypes.FindMessageByName(old.FullName())
			Expect(err).NotTo(HaveOccurred())
			current := kind.New()
			fill(current, 3)
			raw, err := proto.Marshal(current.Interface())
			Expect(err).NotTo(HaveOccurred())
			forwarded := dynamicpb.NewMessage(old)
			Expect(proto.Unmarshal(raw, forwarded)).To(Succeed())
			reencoded, err := proto.Marshal(forwarded)
			Expect(err).NotTo(HaveOccurred())
			again := kind.New().Interface()
			Expect(proto.Unmarshal(reencoded, again)).To(Succeed())
			Expect(proto.Equal(current.Interface(), again)).To(BeTrue(), string(old.Name()))
		})
	})

	ginkgo.It("given a node's part of a bundle written by the first version, when read, then it decodes and its routes match", func() {
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
