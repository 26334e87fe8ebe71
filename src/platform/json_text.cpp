/// \file json_text.cpp Reads JSON that others wrote, entry by entry.
#include "platform/json_text_func.h"

#include <algorithm>
#include <charconv>
#include <map>

using nlohmann::json;

namespace cranberry::platform {

namespace {

constexpr size_t None = std::string_view::npos;
constexpr unsigned AnyDepth = ~0U;

/// Maximum number of places at which the end of a list is tried.
constexpr unsigned MaxListEnds = 16;

bool isSpace(char C) { return C == ' ' || C == '\t' || C == '\n' || C == '\r'; }

size_t skipSpace(std::string_view Text, size_t At) {
  while (At < Text.size() && isSpace(Text[At]))
    ++At;
  return At;
}

/// \param At Position of the opening quote.
/// \return Position after the closing quote, or None.
size_t skipString(std::string_view Text, size_t At) {
  for (++At; At < Text.size(); ++At) {
    if (Text[At] == '"')
      return At + 1;
    if (Text[At] == '\\')
      ++At;
  }
  return None;
}

/// Where a value ends.
struct ValueEnd {
  size_t At_ = None;   ///< Position after the value, or None.
  unsigned Depth_ = 0; ///< Nesting of the value.
};

/// Finds the end of a value by its quotes and brackets only.
ValueEnd findValueEnd(std::string_view Text, size_t At, unsigned MaxDepth) {
  unsigned Depth = 0;
  ValueEnd Result;
  while (At < Text.size()) {
    char C = Text[At];
    if (C == '"') {
      At = skipString(Text, At);
      if (At == None)
        return Result;
    } else if (C == '{' || C == '[') {
      Result.Depth_ = std::max(Result.Depth_, ++Depth);
      if (Depth > MaxDepth)
        return Result;
      ++At;
    } else if (C == '}' || C == ']' || C == ',') {
      if (Depth == 0) {
        Result.At_ = At;
        return Result;
      }
      Depth -= C == ',' ? 0 : 1;
      ++At;
    } else {
      ++At;
      continue;
    }
    if (Depth == 0 && C != ',') {
      Result.At_ = At;
      return Result;
    }
  }
  if (Depth == 0)
    Result.At_ = At;
  return Result;
}

json parse(std::string_view Text) {
  return json::parse(Text.begin(), Text.end(), nullptr, false);
}

bool isDeeper(const json &Value, unsigned Limit) {
  if (!Value.is_structured())
    return false;
  return Limit == 0 ||
         std::any_of(Value.begin(), Value.end(), [Limit](const json &Each) {
           return isDeeper(Each, Limit - 1);
         });
}

/// \return The list, or nothing if the text isn't JSON as a whole or is nested
/// too deep.
std::optional<EntryList> readWhole(std::string_view Text,
                                   std::string_view ListName) {
  EntryList Result;
  Result.Envelope_ = parse(Text);
  auto List = Result.Envelope_.is_object()
                  ? Result.Envelope_.find(std::string(ListName))
                  : Result.Envelope_.end();
  if (List == Result.Envelope_.end() || !List->is_array() ||
      isDeeper(Result.Envelope_, MaxJsonDepth))
    return std::nullopt;
  Result.Entries_.reserve(List->size());
  for (json &Each : *List)
    Result.Entries_.push_back({std::move(Each), {}});
  List->clear();
  return Result;
}

/// Size of an escape such as "\u00e9".
constexpr size_t UnitEscapeSize = 6;

/// \return The UTF-16 unit of an escape at the beginning of \p Text, if any.
std::optional<unsigned> readEscapedUnit(std::string_view Text) {
  constexpr int Hexadecimal = 16;
  constexpr size_t DigitsAt = 2;
  if (!Text.starts_with("\\u") || Text.size() < UnitEscapeSize)
    return std::nullopt;
  unsigned Unit = 0;
  const char *Last = Text.data() + UnitEscapeSize;
  auto [End, Error] =
      std::from_chars(Text.data() + DigitsAt, Last, Unit, Hexadecimal);
  return Error == std::errc() && End == Last ? std::optional(Unit)
                                             : std::nullopt;
}

/// \param[in,out] Rest Text after \p Unit; a low surrogate that completes it is
/// removed.
/// \return The code point that begins with \p Unit.
unsigned takeSurrogatePair(unsigned Unit, std::string_view &Rest) {
  constexpr unsigned HighFirst = 0xd800;
  constexpr unsigned LowFirst = 0xdc00;
  constexpr unsigned LowLast = 0xdfff;
  constexpr unsigned PairsFirst = 0x10000;
  constexpr unsigned LowBits = 10;
  std::optional<unsigned> Low = readEscapedUnit(Rest);
  if (Unit < HighFirst || Unit >= LowFirst || !Low || *Low < LowFirst ||
      *Low > LowLast)
    return Unit;
  Rest.remove_prefix(UnitEscapeSize);
  return PairsFirst + ((Unit - HighFirst) << LowBits) + (*Low - LowFirst);
}

/// Appends a code point as UTF-8 has it, surrogates included.
void appendCodePoint(std::string &Out, unsigned Point) {
  constexpr unsigned TwoBytes = 0x80;
  constexpr unsigned ThreeBytes = 0x800;
  constexpr unsigned FourBytes = 0x10000;
  constexpr unsigned BitsPerByte = 6;
  constexpr unsigned Continuation = 0x80;
  constexpr unsigned Mask = 0x3f;
  unsigned Count = Point < TwoBytes     ? 0
                   : Point < ThreeBytes ? 1
                   : Point < FourBytes  ? 2
                                        : 3;
  constexpr unsigned Leads[] = {0, 0xc0, 0xe0, 0xf0};
  Out += static_cast<char>(Leads[Count] | Point >> (Count * BitsPerByte));
  for (; Count > 0; --Count)
    Out += static_cast<char>(Continuation |
                             (Point >> ((Count - 1) * BitsPerByte) & Mask));
}

/// \return The character of an escape; others stand for themselves.
char decodeEscape(char C) {
  switch (C) {
  case 'b':
    return '\b';
  case 'f':
    return '\f';
  case 'n':
    return '\n';
  case 'r':
    return '\r';
  case 't':
    return '\t';
  default:
    return C;
  }
}

/// Reads the entries of one list.
class EntryListReader {
public:
  EntryListReader(std::string_view Text, EntryCheck IsEntry)
      : Text_(Text), IsEntry_(IsEntry) {}

  std::optional<EntryList> read(std::string_view ListName) {
    Begin_ = findList(ListName);
    if (Begin_ == None)
      return std::nullopt;
    size_t At = skipSpace(Text_, Begin_);
    bool IsEnd = At < Text_.size() && Text_[At] == ']' && tryEnd(At);
    while (!IsEnd) {
      std::optional<size_t> Next = readEntry(At);
      if (!Next)
        return std::nullopt;
      IsEnd = *Next == End_;
      At = *Next;
    }
    return std::move(Result_);
  }

private:
  /// \return Position after the opening bracket of the list, or None.
  size_t findList(std::string_view ListName) const {
    size_t At = skipSpace(Text_, 0);
    if (At >= Text_.size() || Text_[At] != '{')
      return None;
    while (true) {
      size_t Name = skipSpace(Text_, At + 1);
      if (Name >= Text_.size() || Text_[Name] != '"')
        return None;
      size_t NameEnd = skipString(Text_, Name);
      size_t Colon = NameEnd == None ? None : skipSpace(Text_, NameEnd);
      if (Colon >= Text_.size() || Text_[Colon] != ':')
        return None;
      size_t Value = skipSpace(Text_, Colon + 1);
      if (Text_.substr(Name + 1, NameEnd - Name - 2) == ListName)
        return Value < Text_.size() && Text_[Value] == '[' ? Value + 1 : None;
      size_t End = findValueEnd(Text_, Value, MaxJsonDepth).At_;
      At = End == None ? None : skipSpace(Text_, End);
      if (At >= Text_.size() || Text_[At] != ',')
        return None;
    }
  }

  /// Ends the list at \p At if the rest of the text completes the envelope.
  bool tryEnd(size_t At) {
    json Envelope = parseForeignJson(std::string(Text_.substr(0, Begin_)) +
                                     std::string(Text_.substr(At)));
    if (!Envelope.is_object())
      return false;
    End_ = At;
    Result_.Envelope_ = std::move(Envelope);
    return true;
  }

  /// Finds the end of the list from the end of the text, where no entry is.
  bool findEnd() {
    size_t At = Text_.size();
    for (unsigned I = 0; I < MaxListEnds && At > Begin_; ++I) {
      At = Text_.rfind(']', At - 1);
      if (At == None || At < Begin_)
        break;
      tryEnd(At);
    }
    return End_ != None;
  }

  /// \return Position of the entry after the separator at \p At, \p At if it is
  /// the end of the list, or None if it is neither.
  size_t getNext(size_t At) {
    At = skipSpace(Text_, At);
    if (At >= Text_.size())
      return None;
    if (Text_[At] == ',')
      return skipSpace(Text_, At + 1);
    bool IsEnd = End_ == None ? Text_[At] == ']' && tryEnd(At) : At == End_;
    return IsEnd ? At : None;
  }

  /// Adds the entry at \p At.
  /// \return The position of the next entry or of the list's end, or nothing if
  /// the list's end can't be found.
  std::optional<size_t> readEntry(size_t At) {
    ValueEnd Bounds = findValueEnd(Text_, At, AnyDepth);
    size_t Next =
        Bounds.At_ <= End_ && Bounds.At_ != None ? getNext(Bounds.At_) : None;
    if (Next != None) {
      std::string_view Entry = Text_.substr(At, Bounds.At_ - At);
      bool IsDeep = Bounds.Depth_ > MaxJsonDepth;
      json Value(json::value_t::discarded);
      if (!IsDeep)
        Value = parse(Entry);
      if (!Value.is_discarded() ||
          (IsDeep && json::accept(Entry.begin(), Entry.end()))) {
        Result_.Entries_.push_back({std::move(Value), Entry});
        return Next;
      }
    }
    if (End_ == None && !findEnd())
      return std::nullopt;
    Next = findNextEntry(At);
    Result_.Entries_.push_back(
        {json(json::value_t::discarded), Text_.substr(At, Next - At)});
    return Next;
  }

  /// \return The first entry after \p At from which on all can be read. If
  /// there is none, several can't be read, and the result is the first entry
  /// from which on all can be read up to one that begins like the one at \p At.
  /// Otherwise it is the end of the list.
  size_t findNextEntry(size_t At) {
    size_t First = End_;
    for (size_t Comma = Text_.find(',', At); Comma < End_;
         Comma = Text_.find(',', Comma + 1)) {
      size_t Start = skipSpace(Text_, Comma + 1);
      if (Start >= End_ || Text_[Start] != '{' || skipCandidate(Start) == None)
        continue;
      size_t Stop = findStop(Start);
      if (Stop == End_)
        return Start;
      if (First == End_ && beginsAlike(At, Stop))
        First = Start;
    }
    return First;
  }

  /// \return Whether both begin with the same bytes up to a colon.
  bool beginsAlike(size_t Left, size_t Right) const {
    size_t Colon = Text_.find(':', Left);
    return Colon != None && Text_.substr(Left, Colon - Left) ==
                                Text_.substr(Right, Colon - Left);
  }

  /// \return The first position from \p At on that is no entry: the end of the
  /// list if all can be read.
  size_t findStop(size_t At) {
    std::vector<size_t> Chain;
    while (At != End_) {
      if (auto Known = Stops_.find(At); Known != Stops_.end()) {
        At = Known->second;
        break;
      }
      size_t Next = skipCandidate(At);
      if (Next == None)
        break;
      Chain.push_back(At);
      At = Next;
    }
    for (size_t Each : Chain)
      Stops_[Each] = At;
    return At;
  }

  /// \return The position after the entry at \p At and its separator, or None
  /// if there is no entry.
  size_t skipCandidate(size_t At) {
    auto [Known, IsNew] = NextOfCandidate_.try_emplace(At, None);
    if (!IsNew)
      return Known->second;
    // The limit of nesting also bounds how often a byte is looked at.
    size_t End = findValueEnd(Text_, At, MaxJsonDepth).At_;
    size_t Next = End == None || End > End_ ? None : getNext(End);
    if (Next != None && IsEntry_(parse(Text_.substr(At, End - At))))
      NextOfCandidate_[At] = Next;
    return NextOfCandidate_[At];
  }

  std::string_view Text_; ///< Text that is read.
  EntryCheck IsEntry_;    ///< Form of an entry.
  EntryList Result_;      ///< What was read so far.
  size_t Begin_ = None;   ///< Position after the list's opening bracket.
  size_t End_ = None;     ///< Position of its closing bracket, if known.
  std::map<size_t, size_t> NextOfCandidate_; ///< Results of skipCandidate().
  std::map<size_t, size_t> Stops_;           ///< Results of findStop().
};

} // namespace

std::optional<EntryList> readEntryList(std::string_view Text,
                                       std::string_view ListName,
                                       EntryCheck IsEntry) {
  if (std::optional<EntryList> Whole = readWhole(Text, ListName))
    return Whole;
  return EntryListReader(Text, IsEntry).read(ListName);
}

json parseForeignJson(std::string_view Text) {
  size_t At = skipSpace(Text, 0);
  if (findValueEnd(Text, At, MaxJsonDepth).At_ == None)
    return json(json::value_t::discarded);
  return parse(Text);
}

std::string_view findFieldText(std::string_view Text, std::string_view Name,
                               std::string_view OtherName) {
  auto Quote = [](std::string_view Plain) {
    return '"' + std::string(Plain) + '"';
  };
  // The other field's content may look like this field, so only what stands in
  // front of it, or the last one after it, is taken.
  std::string Quoted = Quote(Name);
  size_t At = Text.find(Quoted);
  if (At > Text.find(Quote(OtherName)))
    At = Text.rfind(Quoted);
  if (At == None)
    return {};
  At = skipSpace(Text, At + Quoted.size());
  if (At >= Text.size() || Text[At] != ':')
    return {};
  At = skipSpace(Text, At + 1);
  size_t End = findValueEnd(Text, At, MaxJsonDepth).At_;
  return End == None ? std::string_view() : Text.substr(At, End - At);
}

json findField(std::string_view Text, std::string_view Name,
               std::string_view OtherName) {
  return parse(findFieldText(Text, Name, OtherName));
}

std::optional<std::string> readStringBytes(std::string_view Text) {
  size_t End = Text.starts_with('"') ? skipString(Text, 0) : None;
  if (End == None)
    return std::nullopt;
  Text = Text.substr(1, End - 2);
  std::string Result;
  while (!Text.empty()) {
    if (std::optional<unsigned> Unit = readEscapedUnit(Text)) {
      Text.remove_prefix(UnitEscapeSize);
      appendCodePoint(Result, takeSurrogatePair(*Unit, Text));
    } else if (Text.front() == '\\' && Text.size() > 1) {
      Result += decodeEscape(Text[1]);
      Text.remove_prefix(2);
    } else {
      Result += Text.front();
      Text.remove_prefix(1);
    }
  }
  return Result;
}

} // namespace cranberry::platform
