#include <string>

#include "Base/InputError.h"

#include <CppUTest/TestHarness.h>

using namespace filbertwall;

TEST_GROUP(InputError){};

TEST(InputError, ExcerptIsPrintableAndBounded) {
  STRCMP_EQUAL("a\\x0A\\x5C\\xFF", Excerpt("a\n\\\xff").c_str());
  CHECK(Excerpt(std::string(100000, '\n')).size() <= 200);
}

TEST(InputError, Utf8IsRecognised) {
  for (const char* text : {"", "plain",
                           "pr\xC3\xA1"
                           "ctica",
                           "\xE2\x82\xAC", "\xF0\x9F\x9A\x80", "\xEF\xBF\xBD",
                           "\xF4\x8F\xBF\xBF"}) {
    CHECK_TRUE(IsUtf8(text));
  }
}

TEST(InputError, TextThatIsNoUtf8IsRecognised) {
  for (const char* text :
       {"\xFF\xFE", "pr\xC3", "\x80", "\xC0\x80", "\xE0\x80\x80",
        "\xED\xA0\x80", "\xE2\x82", "\xF0\x80\x80\x80", "\xF4\x90\x80\x80",
        "\xF5\x80\x80\x80", "\xC3("}) {
    CHECK_FALSE(IsUtf8(text));
  }
}
