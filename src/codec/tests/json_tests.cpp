#define BOOST_TEST_MODULE codec
#include "codec/json.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun::codec;

BOOST_AUTO_TEST_CASE(parsingIsStrict)
{
    for (const char* it : { "", "{", "{} x", "{\"a\":1,\"a\":2}", "{a:1}", "[1,]", "// c\n{}", "{\"a\":NaN}" })
        BOOST_CHECK_THROW(parseJson(it), DecodeError);
    BOOST_CHECK_THROW(parseJson(std::string(100, '[')), DecodeError);
    BOOST_TEST(writeJson(parseJson(" {\"a\" : [1, true]} ")) == "{\"a\":[1,true]}");
}

BOOST_AUTO_TEST_CASE(errorsNameThePlace)
{
    const Json::Value value = parseJson(R"({"tasks":[{"cpu":1},{"cpu":"x"}]})");
    ObjectReader reader(value);
    auto tasks = reader.objects("tasks", 4);
    BOOST_TEST(tasks[0].integer("cpu", 0, 10) == 1);
    BOOST_CHECK_EXCEPTION(
        tasks[1].integer("cpu", 0, 10), DecodeError, [](const DecodeError& it) { return it.path() == "tasks[1].cpu"; });
}

BOOST_AUTO_TEST_CASE(unknownFieldsAndValuesOutOfRangeAreRejected)
{
    const Json::Value value = parseJson(R"({"a":11,"b":true,"c":1.5})");
    ObjectReader reader(value);
    BOOST_CHECK_THROW(reader.integer("a", 0, 10), DecodeError);
    BOOST_CHECK_THROW(reader.integer("c", 0, 10), DecodeError);
    BOOST_TEST(reader.flagOr("b", false));
    reader.finish();
    ObjectReader other(value);
    BOOST_CHECK_THROW(other.finish(), DecodeError);
}

//! Guards against a text of legal length whose tree takes a hundred times as much memory.
BOOST_AUTO_TEST_CASE(aTextWithTooManyValuesIsRejected)
{
    const auto listOf = [](std::size_t count, const std::string& value) {
        std::string text = "[" + value;
        for (std::size_t n = 1; n < count; ++n)
            text += "," + value;
        return text + "]";
    };
    for (const std::string it : { "0", "[]", "{}", "\"\"" }) {
        BOOST_CHECK_THROW(parseJson(listOf(maxCallerValues, it), maxCallerValues), DecodeError);
        BOOST_TEST(parseJson(listOf(maxCallerValues / 2 - 1, it), maxCallerValues).size() == maxCallerValues / 2 - 1);
    }
    BOOST_TEST(parseJson(listOf(maxCallerValues * 2, "0")).size() == maxCallerValues * 2);
    const std::string commas = "\"" + std::string(4000, ',') + "\"";
    BOOST_TEST(parseJson(commas, maxCallerValues).asString().size() == 4000U);
}
