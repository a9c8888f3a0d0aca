#include "codecs/peer_cbor.h"

#include "core/reason.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace sardinecourse {

namespace {

constexpr std::size_t kNestedBytes = 1U << 20U;
constexpr char kCborArrayOfOne = '\x81';

std::int64_t
AnyCount()
{
  return *rc::gen::nonNegative<std::int64_t>();
}

template<typename AnyName>
AnyName
AnyNameOf()
{
  return AnyName(*rc::gen::nonEmpty(
    rc::gen::container<std::string>(rc::gen::inRange<char>('a', 'z'))));
}

std::vector<MinionLoad>
AnyLoads()
{
  return *rc::gen::container<std::vector<MinionLoad>>(rc::gen::exec([] {
    return MinionLoad{ AnyCount(), AnyCount() };
  }));
}

PeerMessage
AnyMessage()
{
  const std::string text = *rc::gen::arbitrary<std::string>();
  const auto host = AnyNameOf<HostName>();
  const auto dataCentre = AnyNameOf<DataCentreName>();
  const std::vector<PeerMessage> messages{
    PeerHello{ host, dataCentre, AnyCount(), AnyCount() },
    PeerHeartbeat{ AnyCount() },
    SettingsRequest{ AnyCount(), AnyCount() },
    SettingsReply{ AnyCount(), AnyCount(), text },
    MinionLoads{ AnyCount(), *rc::gen::arbitrary<bool>(), AnyLoads() },
    MinionLeaving{ AnyNameOf<MinionName>() },
    PromiseRequest{ AnyCount(), AnyCount() },
    PromiseReply{ AnyCount(), *rc::gen::arbitrary<bool>() },
    QueueNotice{},
    HostLeaving{ AnyCount() }
  };
  RC_ASSERT(messages.size() == std::variant_size_v<PeerMessage>);
  return *rc::gen::elementOf(messages);
}

class PeerCborTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PeerCborTest);
  CPPUNIT_TEST(MessagesRoundTrip);
  CPPUNIT_TEST(DamagedMessageIsRefusedOrRoundTrips);
  CPPUNIT_TEST(RandomBytesAreRefusedWithAReason);
  CPPUNIT_TEST(DeeplyNestedArrayIsRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void MessagesRoundTrip()
  {
    CPPUNIT_ASSERT(rc::check("round trip", [] {
      const PeerMessage message = AnyMessage();
      Reason reason;
      const auto read = DecodePeerMessage(EncodePeerMessage(message), reason);
      RC_ASSERT(read.has_value());
      RC_ASSERT(*read == message);
    }));
  }

  void DamagedMessageIsRefusedOrRoundTrips()
  {
    // A damaged message must be refused, or decode to a valid message that
    // survives another round trip.
    CPPUNIT_ASSERT(rc::check("damaged messages", [] {
      std::string bytes = EncodePeerMessage(AnyMessage());
      const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
      bytes[position] = *rc::gen::arbitrary<char>();
      bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
      Reason reason;
      const auto read = DecodePeerMessage(bytes, reason);
      RC_ASSERT(read.has_value() || reason.At() == Step::kDecode);
      if (read) {
        Reason again;
        RC_ASSERT(DecodePeerMessage(EncodePeerMessage(*read), again) == read);
      }
    }));
  }

  void RandomBytesAreRefusedWithAReason()
  {
    CPPUNIT_ASSERT(rc::check("garbage", [] {
      const auto bytes = *rc::gen::arbitrary<std::string>();
      Reason reason;
      const auto read = DecodePeerMessage(bytes, reason);
      RC_ASSERT(read.has_value() || !reason.Text().empty());
    }));
    Reason reason;
    const std::string heartbeat = EncodePeerMessage(PeerHeartbeat{ 1 });
    CPPUNIT_ASSERT(!DecodePeerMessage(heartbeat + heartbeat, reason));
    CPPUNIT_ASSERT(!DecodePeerMessage(heartbeat + '\x01', reason));
    CPPUNIT_ASSERT(!DecodePeerMessage("", reason));
  }

  void DeeplyNestedArrayIsRefused()
  {
    Reason reason;
    const std::string nested(kNestedBytes, kCborArrayOfOne);
    CPPUNIT_ASSERT(!DecodePeerMessage(nested, reason));
    CPPUNIT_ASSERT(reason.At() == Step::kDecode);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerCborTest);

}

}
